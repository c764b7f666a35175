#include "settings/process_flags.h"

#include <cstdio>
#include <cstdlib>

namespace shedshed {

ProcessFlags::ProcessFlags(ProcessKind kind) {
  for (const ProcessKey& key : processKeys()) {
    if (key.appliesTo(kind)) {
      keys_.push_back(&key);
    }
  }
  values_.resize(keys_.size(), nullptr);
  for (std::size_t index = 0; index < keys_.size(); ++index) {
    names_.push_back(keys_[index]->flag());
  }
  options_.push_back(
      {"settings", 's', POPT_ARG_STRING, &file_, 0, "JSON file of settings", "FILE"});
  for (std::size_t index = 0; index < keys_.size(); ++index) {
    options_.push_back({names_[index].c_str(), '\0', POPT_ARG_STRING, &values_[index], 0,
                        keys_[index]->allowed, "VALUE"});
  }
  options_.push_back({"help", '?', POPT_ARG_NONE, &help_, 0, "Show this help", nullptr});
  options_.push_back({"version", '\0', POPT_ARG_NONE, &version_, 0, "Show the version", nullptr});
  options_.push_back(POPT_TABLEEND);
}

ProcessFlags::~ProcessFlags() {
  std::free(file_);
  for (char* value : values_) {
    std::free(value);
  }
}

Status ProcessFlags::read(int argc, const char** argv) {
  context_.reset(poptGetContext(nullptr, argc, argv, options_.data(), 0));
  const int code = poptGetNextOpt(context_.get());
  if (code < -1) {
    return makeError(ErrorCode::InvalidArgument,
                     std::string(poptBadOption(context_.get(), POPT_BADOPTION_NOALIAS)) + ": " +
                         poptStrerror(code) + "; see --help");
  }
  if (const char* rest = poptGetArg(context_.get()); rest != nullptr) {
    return makeError(ErrorCode::InvalidArgument,
                     std::string("unexpected argument \"") + rest + "\"; see --help");
  }
  return okStatus();
}

Status ProcessFlags::apply(ProcessSettings& settings, std::set<std::string>& given) const {
  for (std::size_t index = 0; index < keys_.size(); ++index) {
    if (values_[index] == nullptr) {
      continue;
    }
    if (!keys_[index]->parse(settings, values_[index])) {
      return makeError(ErrorCode::InvalidArgument, "--" + names_[index] + ": found \"" +
                                                       values_[index] +
                                                       "\"; allowed: " + keys_[index]->allowed);
    }
    given.insert(keys_[index]->name);
  }
  return okStatus();
}

std::optional<std::string> ProcessFlags::file() const {
  // An empty path counts as none.
  if (file_ == nullptr || *file_ == '\0') {
    return std::nullopt;
  }
  return std::string(file_);
}

std::string ProcessFlags::helpText() const {
  char* text = nullptr;
  std::size_t size = 0;
  std::FILE* stream = open_memstream(&text, &size);
  poptPrintHelp(context_.get(), stream, 0);
  std::fclose(stream);
  std::string help(text, size);
  std::free(text);
  return help;
}

}  // namespace shedshed
