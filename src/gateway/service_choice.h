/// @file
/// Choice among the services of a route.
#pragma once

#include "settings/route_table.h"

#include <string>

namespace shedshed {

/// Returns the service of @p route for the request @p requestId, by the services' weights. The same
/// request gets the same service for as long as the route stays as it is. A service of weight 0 is
/// never chosen.
const std::string& chooseService(const RouteSettings& route, const std::string& requestId);

}  // namespace shedshed
