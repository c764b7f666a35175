#include "kernel/trace_event.h"

namespace shedshed {
namespace {

bool needsQuotes(std::string_view value) {
  return value.empty() || value.find_first_of(" \"\\=\n\t") != std::string_view::npos;
}

std::string quoted(std::string_view value) {
  std::string text = "\"";
  for (const char character : value) {
    if (character == '"' || character == '\\') {
      text += '\\';
    }
    text += character == '\n' ? ' ' : character;
  }
  return text + '"';
}

}  // namespace

TraceEvent& TraceEvent::field(std::string_view name, std::string_view value) {
  text_ += ' ';
  text_ += name;
  text_ += '=';
  text_ += needsQuotes(value) ? quoted(value) : std::string(value);
  return *this;
}

TraceEvent& TraceEvent::field(std::string_view name, const Error& error) {
  std::string text(errorTypeName(error.code));
  if (!error.detail.empty()) {
    text += ": " + error.detail;
  }
  return field(name, std::string_view(text));
}

}  // namespace shedshed
