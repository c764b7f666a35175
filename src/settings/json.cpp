#include "settings/json.h"

#include <cmath>
#include <set>

namespace shedshed {

namespace {

/// Longest prefix of a rejected value that an error repeats, in bytes.
constexpr std::size_t kMaxShownBytes = 80;

constexpr std::string_view kEscapedNul = "\\u0000";

/// Validates the text before cJSON parses it: nesting depth, NUL bytes and escaped NUL characters.
class JsonTextValidator {
 public:
  JsonTextValidator(std::string_view text, std::size_t maxDepth)
      : text_(text), maxDepth_(maxDepth) {}

  Status run() {
    for (position_ = 0; position_ < text_.size(); ++position_) {
      Status status = inString_ ? checkInString() : checkOutsideString();
      if (!status) {
        return status;
      }
    }
    return okStatus();
  }

 private:
  Status checkInString() {
    const char character = text_[position_];
    if (character == '\0' || text_.substr(position_, kEscapedNul.size()) == kEscapedNul) {
      return reject(ErrorCode::InvalidArgument, "NUL characters are not allowed");
    }
    if (character == '\\') {
      ++position_;
    } else if (character == '"') {
      inString_ = false;
    }
    return okStatus();
  }

  Status checkOutsideString() {
    switch (text_[position_]) {
    case '\0':
      return reject(ErrorCode::InvalidArgument, "NUL characters are not allowed");
    case '"':
      inString_ = true;
      return okStatus();
    case '{':
    case '[':
      ++depth_;
      if (depth_ > maxDepth_) {
        return reject(ErrorCode::TooLarge,
                      "at most " + std::to_string(maxDepth_) + " nested levels are allowed");
      }
      return okStatus();
    case '}':
    case ']':
      depth_ -= depth_ > 0 ? 1 : 0;
      return okStatus();
    default:
      return okStatus();
    }
  }

  Status reject(ErrorCode code, const std::string& what) const {
    return makeError(code, "JSON at byte " + std::to_string(position_) + ": " + what);
  }

  std::string_view text_;
  std::size_t maxDepth_;
  std::size_t position_ = 0;
  std::size_t depth_ = 0;
  bool inString_ = false;
};

/// Rejects duplicate keys and numbers that are not finite, in the whole tree.
Status checkTree(const cJSON* node, const std::string& path) {
  if (cJSON_IsNumber(node) && !std::isfinite(node->valuedouble)) {
    return makeError(ErrorCode::InvalidArgument, path + ": the number is out of range");
  }
  std::set<std::string_view> names;
  std::size_t index = 0;
  for (const cJSON* child = node->child; child != nullptr; child = child->next) {
    std::string childPath = path + "/" + std::to_string(index);
    if (cJSON_IsObject(node)) {
      childPath = path + "/" + child->string;
      if (!names.insert(child->string).second) {
        return makeError(ErrorCode::InvalidArgument,
                         childPath + ": duplicate key; each key is allowed once");
      }
    }
    if (Status status = checkTree(child, childPath); !status) {
      return status;
    }
    ++index;
  }
  return okStatus();
}

}  // namespace

Result<JsonDocument> JsonDocument::parse(std::string_view text, JsonBounds bounds) {
  if (text.size() > bounds.maxBytes) {
    return makeError(ErrorCode::TooLarge, "JSON of " + std::to_string(text.size()) +
                                              " bytes; at most " + std::to_string(bounds.maxBytes) +
                                              " are allowed");
  }
  if (Status status = JsonTextValidator(text, bounds.maxDepth).run(); !status) {
    return status.error();
  }
  const std::string terminated(text);
  const char* end = nullptr;
  // With the terminating NUL included in the length, cJSON also rejects anything after the value.
  JsonDocument document(
      cJSON_ParseWithLengthOpts(terminated.c_str(), terminated.size() + 1, &end, 1));
  if (document.root() == nullptr) {
    const std::size_t offset =
        end == nullptr ? 0 : static_cast<std::size_t>(end - terminated.c_str());
    return makeError(ErrorCode::InvalidArgument,
                     "JSON at byte " + std::to_string(offset) + ": not valid JSON");
  }
  if (Status status = checkTree(document.root(), ""); !status) {
    return status.error();
  }
  return document;
}

std::string JsonDocument::printJson(const cJSON* node, bool indented) {
  char* text = indented ? cJSON_Print(node) : cJSON_PrintUnformatted(node);
  if (text == nullptr) {
    return {};
  }
  std::string printed(text);
  cJSON_free(text);
  return printed;
}

const cJSON* jsonMember(const cJSON* object, const char* name) {
  return cJSON_GetObjectItemCaseSensitive(object, name);
}

Result<std::string> jsonString(const cJSON* object, const char* name, const std::string& path) {
  const cJSON* member = jsonMember(object, name);
  if (!cJSON_IsString(member)) {
    return jsonError(path + "/" + name, member, "a string");
  }
  return std::string(member->valuestring);
}

Result<std::uint64_t> jsonUnsigned(const cJSON* object, const char* name, const std::string& path,
                                   std::uint64_t minimum, std::uint64_t maximum) {
  const cJSON* member = jsonMember(object, name);
  const bool fits = cJSON_IsNumber(member) && member->valuedouble >= static_cast<double>(minimum) &&
                    member->valuedouble <= static_cast<double>(maximum) &&
                    std::floor(member->valuedouble) == member->valuedouble;
  if (!fits) {
    return jsonError(path + "/" + name, member,
                     "a whole number from " + std::to_string(minimum) + " to " +
                         std::to_string(maximum));
  }
  return static_cast<std::uint64_t>(member->valuedouble);
}

void addUnsigned(cJSON* object, const char* name, std::uint64_t value) {
  cJSON_AddRawToObject(object, name, std::to_string(value).c_str());
}

Error jsonError(const std::string& path, const cJSON* value, const std::string& allowed) {
  std::string shown = "nothing";
  if (value != nullptr) {
    shown = JsonDocument::printJson(value, false);
  }
  if (shown.size() > kMaxShownBytes) {
    shown = shown.substr(0, kMaxShownBytes) + "...";
  }
  const std::string shownPath = path.empty() ? "/" : path;
  return makeError(ErrorCode::InvalidArgument,
                   shownPath + ": found " + shown + "; allowed: " + allowed);
}

}  // namespace shedshed
