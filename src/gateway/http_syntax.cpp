#include "gateway/http_syntax.h"

#include <algorithm>
#include <cctype>

namespace shedshed {
namespace {

constexpr char kDelete = 0x7f;

bool isControl(char character) {
  const auto byte = static_cast<unsigned char>(character);
  return byte < ' ' || character == kDelete;
}

bool isTokenCharacter(char character) {
  constexpr std::string_view kTokenSymbols = "!#$%&'*+-.^_`|~";
  const auto byte = static_cast<unsigned char>(character);
  const bool alphanumeric = byte < 0x80 && std::isalnum(byte) != 0;
  return alphanumeric || kTokenSymbols.find(character) != std::string_view::npos;
}

}  // namespace

bool isFieldName(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
}

bool isFieldValue(std::string_view text) {
  return std::none_of(text.begin(), text.end(),
                      [](char character) { return isControl(character) && character != '\t'; });
}

bool isOriginFormTarget(std::string_view text) {
  const auto ends = [](char character) { return isControl(character) || character == ' '; };
  return !text.empty() && text.front() == '/' && std::none_of(text.begin(), text.end(), ends);
}

}  // namespace shedshed
