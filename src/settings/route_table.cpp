#include "settings/route_table.h"

#include "settings/route_table_parser.h"

namespace shedshed {

Result<RouteTable> RouteTable::parse(const cJSON* root) {
  return RouteTableParser().parse(root);
}

const RouteSettings* RouteTable::match(std::string_view host, std::string_view path) const {
  const auto prefixes = byHost_.find(host);
  if (prefixes == byHost_.end()) {
    return nullptr;
  }
  const RouteSettings* longest = nullptr;
  for (const auto& entry : prefixes->second) {
    const std::string& prefix = entry.first;
    const bool begins = path.substr(0, prefix.size()) == prefix;
    if (begins && (longest == nullptr || prefix.size() > longest->pathPrefix.size())) {
      longest = find(entry.second);
    }
  }
  return longest;
}

Duration RouteTable::shortestCompletionObjective() const {
  Duration shortest{0};
  for (const auto& entry : routes_) {
    const Duration due = entry.second.completionObjective;
    const bool shorter = shortest == Duration{0} || due < shortest;
    shortest = due > Duration{0} && shorter ? due : shortest;
  }
  return shortest;
}

const RouteSettings* RouteTable::find(const std::string& name) const {
  const auto found = routes_.find(name);
  return found == routes_.end() ? nullptr : &found->second;
}

const ServiceSettings* RouteTable::service(const std::string& name) const {
  const auto found = services_.find(name);
  return found == services_.end() ? nullptr : &found->second;
}

}  // namespace shedshed
