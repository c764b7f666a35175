// JSON merge patch: the examples of RFC 7396 whose target and patch are objects, and the creation
// of patches.
#include "settings/merge_patch.h"

#include <boost/test/unit_test.hpp>
#include <vector>

using namespace shedshed;

namespace {

struct PatchCase {
  const char* target;
  const char* patch;
  const char* result;
};

const std::vector<PatchCase> kCases = {
    {R"({"a":"b"})", R"({"a":"c"})", R"({"a":"c"})"},
    {R"({"a":"b"})", R"({"b":"c"})", R"({"a":"b","b":"c"})"},
    {R"({"a":"b"})", R"({"a":null})", R"({})"},
    {R"({"a":"b","b":"c"})", R"({"a":null})", R"({"b":"c"})"},
    {R"({"a":["b"]})", R"({"a":"c"})", R"({"a":"c"})"},
    {R"({"a":"c"})", R"({"a":["b"]})", R"({"a":["b"]})"},
    {R"({"a":{"b":"c"}})", R"({"a":{"b":"d","c":null}})", R"({"a":{"b":"d"}})"},
    {R"({"a":[{"b":"c"}]})", R"({"a":[1]})", R"({"a":[1]})"},
    {R"({"e":null})", R"({"a":1})", R"({"e":null,"a":1})"},
    {R"({})", R"({"a":{"bb":{"ccc":null}}})", R"({"a":{"bb":{}}})"},
    {"", R"({"a":1})", R"({"a":1})"},
};

}  // namespace

BOOST_AUTO_TEST_CASE(merge_patch_gives_the_results_of_the_rfc) {
  for (const PatchCase& test : kCases) {
    BOOST_TEST(applyMergePatch(test.target, test.patch).value() == test.result);
  }
}

BOOST_AUTO_TEST_CASE(a_created_patch_turns_one_text_into_the_other) {
  BOOST_TEST(
      createMergePatch(R"({"a":{"b":1,"c":2},"d":3})", R"({"a":{"b":1,"c":4},"e":5})").value() ==
      R"({"d":null,"a":{"c":4},"e":5})");
  BOOST_TEST(createMergePatch(R"({"a":[1]})", R"({"a":[1]})").value() == "{}");
}

BOOST_AUTO_TEST_CASE(patches_that_are_not_json_objects_are_rejected) {
  for (const char* patch : {"[]", "7", "null", "{", R"({"a":1,"a":2})"}) {
    BOOST_TEST((applyMergePatch("{}", patch).error().code == ErrorCode::InvalidArgument));
  }
}
