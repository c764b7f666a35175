#include "gateway/opaque_call.h"

#include <algorithm>
#include <charconv>

namespace shedshed {
namespace {

/// Further parts of a prompt are ignored.
constexpr std::size_t kMaxPromptParts = 64;

std::uint32_t parseNumber(std::string_view text) {
  std::uint32_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

/// Removes the text up to and including @p separator from the front of @p text; returns it without
/// the separator.
std::string_view takeUntil(std::string_view& text, char separator) {
  const std::size_t end = std::min(text.find(separator), text.size());
  const std::string_view piece = text.substr(0, end);
  text.remove_prefix(std::min(end + 1, text.size()));
  return piece;
}

}  // namespace

PromptHints parsePromptHints(std::string_view parts, std::string_view tokenCount) {
  PromptHints hints;
  while (!parts.empty() && hints.parts.size() < kMaxPromptParts) {
    std::string_view part = takeUntil(parts, ',');
    const std::string_view id = takeUntil(part, ':');
    hints.parts.push_back({std::string(id), parseNumber(part)});
  }
  const std::string_view promptTokens = takeUntil(tokenCount, ',');
  hints.promptTokens = parseNumber(promptTokens);
  hints.maxOutputTokens = parseNumber(tokenCount);
  return hints;
}

}  // namespace shedshed
