/// Names that only the platform uses stay in `platform/` and `deploy/`.
#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace {

const char* const kPlatformNames[] = {"X-Shedshed-", "/v1/lots",   "/v1/items/", "after_rev",
                                      "/instances",  "/v1/config", "next_token", "dead_letter",
                                      "page_token",  "/v1/retire"};

std::string contentOf(const std::filesystem::path& path) {
  std::ifstream file(path, std::ios::binary);
  std::stringstream content;
  content << file.rdbuf();
  return content.str();
}

}  // namespace

BOOST_AUTO_TEST_CASE(names_of_the_platform_stay_in_its_folder) {
  const std::filesystem::path root = SHEDSHED_SOURCE_DIR;
  for (const char* folder : {"src", "sim", "standins", "bench", "tools"}) {
    for (const auto& entry : std::filesystem::recursive_directory_iterator(root / folder)) {
      if (!entry.is_regular_file()) {
        continue;
      }
      const std::string content = contentOf(entry.path());
      for (const char* name : kPlatformNames) {
        BOOST_TEST((content.find(name) == std::string::npos), entry.path() << ": " << name);
      }
    }
  }
}
