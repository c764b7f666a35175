/// Tests of the choice among the services of a route.
#include "gateway/service_choice.h"

#include <boost/test/unit_test.hpp>
#include <map>

namespace shedshed::test {
namespace {

RouteSettings routeOf(std::vector<WeightedService> services) {
  RouteSettings route;
  route.services = std::move(services);
  return route;
}

std::map<std::string, int> choicesOf(const RouteSettings& route, int requests) {
  std::map<std::string, int> chosen;
  for (int number = 0; number < requests; ++number) {
    ++chosen[chooseService(route, "request-" + std::to_string(number))];
  }
  return chosen;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(service_choice)

BOOST_AUTO_TEST_CASE(a_service_of_weight_0_is_never_chosen_wherever_it_stands) {
  const RouteSettings route = routeOf({{"a", 0}, {"b", 0.1}, {"c", 0}, {"d", 0.2}, {"e", 0}});
  const auto chosen = choicesOf(route, 20000);
  BOOST_TEST(chosen.size() == 2U);
  BOOST_TEST(chosen.count("b") == 1U);
  BOOST_TEST(chosen.count("d") == 1U);
}

BOOST_AUTO_TEST_CASE(services_are_chosen_by_their_weights) {
  constexpr int kRequests = 20000;
  const auto chosen = choicesOf(routeOf({{"a", 90}, {"b", 10}}), kRequests);
  BOOST_TEST(chosen.at("a") > kRequests * 0.88);
  BOOST_TEST(chosen.at("a") < kRequests * 0.92);
}

BOOST_AUTO_TEST_CASE(the_same_request_gets_the_same_service) {
  const RouteSettings route = routeOf({{"a", 1}, {"b", 1}});
  for (int number = 0; number < 100; ++number) {
    const std::string id = std::to_string(number);
    BOOST_TEST(chooseService(route, id) == chooseService(route, id));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shedshed::test
