#include "storage/fake_file_system.h"

#include <algorithm>
#include <utility>

namespace shedshed {
namespace {

bool isInFolder(const std::string& path, const std::string& folder) {
  return path.size() > folder.size() + 1 && path.compare(0, folder.size(), folder) == 0 &&
         path[folder.size()] == '/' && path.find('/', folder.size() + 1) == std::string::npos;
}

Error storageFailed(const char* what) {
  return makeError(ErrorCode::StorageFailed, what);
}

}  // namespace

class FakeFile : public File {
 public:
  FakeFile(FakeFileSystem& disk, std::shared_ptr<FakeFileSystem::Content> content)
      : disk_(disk), content_(std::move(content)), generation_(disk.generation_) {}

  Result<std::string> readAt(std::uint64_t offset, std::size_t bytes) const override {
    if (generation_ != disk_.generation_ || offset + bytes > content_->current.size()) {
      return storageFailed("read past the end of the file or after a crash");
    }
    return content_->current.substr(offset, bytes);
  }

  Status allocate(std::uint64_t bytes) override { return disk_.allocate(*content_, bytes); }

  Status truncate(std::uint64_t bytes) override {
    content_->current.resize(std::min<std::size_t>(content_->current.size(), bytes));
    content_->durable.resize(content_->current.size());
    const std::size_t sectors =
        (content_->current.size() + kFakeSectorBytes - 1) / kFakeSectorBytes;
    content_->dirtySectors.erase(content_->dirtySectors.lower_bound(sectors),
                                 content_->dirtySectors.end());
    return okStatus();
  }

  Status writeAt(std::uint64_t offset, std::string_view data) override {
    const Status power = countOperation();
    const bool beyond = offset + data.size() > content_->current.size();
    if (!power || beyond || std::exchange(disk_.failWrite_, false)) {
      return storageFailed("simulated write failure");
    }
    content_->current.replace(offset, data.size(), data);
    for (std::uint64_t at = offset / kFakeSectorBytes * kFakeSectorBytes; at < offset + data.size();
         at += kFakeSectorBytes) {
      content_->dirtySectors.insert(at / kFakeSectorBytes);
    }
    return okStatus();
  }

  Status sync() override {
    if (!countOperation()) {
      return storageFailed("simulated power loss");
    }
    const bool fails = std::exchange(disk_.failSync_, false);
    for (const std::size_t sector : content_->dirtySectors) {
      if (!fails) {
        content_->makeDurable(sector);
      }
    }
    content_->dirtySectors.clear();
    if (fails) {
      return storageFailed("simulated sync failure");
    }
    return okStatus();
  }

 private:
  Status countOperation() {
    if (generation_ != disk_.generation_) {
      return storageFailed("file was opened before the simulated crash");
    }
    return disk_.countOperation();
  }

  FakeFileSystem& disk_;
  std::shared_ptr<FakeFileSystem::Content> content_;
  std::uint64_t generation_;
};

class FakeFileSystem::Lock : public FileLock {
 public:
  Lock(FakeFileSystem& disk, std::string path)
      : disk_(disk), path_(std::move(path)), generation_(disk.generation_) {}
  ~Lock() override {
    if (generation_ == disk_.generation_) {
      disk_.locks_.erase(path_);
    }
  }

 private:
  FakeFileSystem& disk_;
  std::string path_;
  std::uint64_t generation_;
};

void FakeFileSystem::Content::makeDurable(std::size_t sector) {
  const std::size_t at = sector * kFakeSectorBytes;
  const std::string bytes = current.substr(at, kFakeSectorBytes);
  durable.replace(at, bytes.size(), bytes);
}

std::uint64_t FakeFileSystem::fileBytes(const std::string& path) const {
  return names_.at(path)->current.size();
}

std::uint64_t FakeFileSystem::allocatedBytes() const {
  std::uint64_t total = 0;
  for (const auto& entry : names_) {
    total += entry.second->current.size();
  }
  return total;
}

Status FakeFileSystem::allocate(Content& content, std::uint64_t bytes) {
  if (operationsUntilPowerCut_ == 0) {
    return storageFailed("simulated power loss");
  }
  const std::uint64_t others = allocatedBytes() - content.current.size();
  if (others + bytes > limitBytes_) {
    return makeError(ErrorCode::StorageFull, "no space on the simulated disk");
  }
  content.current.resize(std::max<std::size_t>(content.current.size(), bytes));
  content.durable.resize(content.current.size());
  return okStatus();
}

Status FakeFileSystem::countOperation() {
  if (operationsUntilPowerCut_ == 0) {
    return storageFailed("simulated power loss");
  }
  --operationsUntilPowerCut_;
  ++operations_;
  return okStatus();
}

Status FakeFileSystem::createFolder(const std::string&) {
  return okStatus();
}

Result<std::unique_ptr<File>> FakeFileSystem::openPreallocated(const std::string& path,
                                                               std::uint64_t bytes) {
  if (operationsUntilPowerCut_ == 0) {
    return storageFailed("simulated power loss");
  }
  const auto known = names_.find(path);
  const std::shared_ptr<Content> content =
      known == names_.end() ? std::make_shared<Content>() : known->second;
  names_[path] = content;
  const Status allocated = allocate(*content, bytes);
  if (!allocated) {
    return allocated.error();
  }
  return std::unique_ptr<File>(std::make_unique<FakeFile>(*this, content));
}

Status FakeFileSystem::syncFolder(const std::string& folder) {
  const Status power = countOperation();
  if (!power) {
    return power.error();
  }
  for (auto entry = durableNames_.begin(); entry != durableNames_.end();) {
    entry = isInFolder(entry->first, folder) ? durableNames_.erase(entry) : std::next(entry);
  }
  for (const auto& [name, content] : names_) {
    if (isInFolder(name, folder)) {
      durableNames_[name] = content;
    }
  }
  return okStatus();
}

Result<std::vector<std::string>> FakeFileSystem::list(const std::string& folder) const {
  std::vector<std::string> names;
  for (const auto& [name, content] : names_) {
    if (isInFolder(name, folder)) {
      names.push_back(name.substr(folder.size() + 1));
    }
  }
  return names;
}

Status FakeFileSystem::rename(const std::string& from, const std::string& to) {
  const auto found = names_.find(from);
  if (found == names_.end()) {
    return makeError(ErrorCode::NotFound, from);
  }
  names_[to] = found->second;
  names_.erase(from);
  return okStatus();
}

Status FakeFileSystem::remove(const std::string& path) {
  if (names_.erase(path) == 0) {
    return makeError(ErrorCode::NotFound, path);
  }
  return okStatus();
}

Result<std::unique_ptr<FileLock>> FakeFileSystem::lock(const std::string& path) {
  if (!locks_.insert(path).second) {
    return makeError(ErrorCode::AlreadyExists, "another process holds " + path);
  }
  return std::unique_ptr<FileLock>(std::make_unique<Lock>(*this, path));
}

void FakeFileSystem::crash(RandomEngine& random) {
  // The survival probability of a crash is one of 0/4 to 4/4.
  constexpr unsigned kSurvivalSteps = 4;
  const unsigned share = random() % (kSurvivalSteps + 1);
  const auto survives = [&] { return random() % kSurvivalSteps < share; };
  std::set<std::string> all;
  for (const auto& [name, content] : names_) {
    all.insert(name);
  }
  for (const auto& [name, content] : durableNames_) {
    all.insert(name);
  }
  Names after;
  for (const std::string& name : all) {
    const Names& source = survives() ? names_ : durableNames_;
    const auto found = source.find(name);
    if (found != source.end()) {
      after[name] = found->second;
    }
  }
  std::set<Content*> done;
  for (const auto& [name, content] : after) {
    if (!done.insert(content.get()).second) {
      continue;
    }
    for (const std::size_t sector : content->dirtySectors) {
      if (survives()) {
        content->makeDurable(sector);
      }
    }
    content->current = content->durable;
    content->dirtySectors.clear();
  }
  names_ = after;
  durableNames_ = after;
  operationsUntilPowerCut_ = std::numeric_limits<std::uint64_t>::max();
  failSync_ = false;
  failWrite_ = false;
  endProcess();
}

void FakeFileSystem::endProcess() {
  ++generation_;
  locks_.clear();
}

void FakeFileSystem::flipBit(const std::string& path, std::uint64_t offset, unsigned bit) {
  Content& content = *names_.at(path);
  content.current.at(offset) ^= static_cast<char>(1U << bit);
  content.durable.at(offset) ^= static_cast<char>(1U << bit);
}

void FakeFileSystem::removeAllFiles() {
  names_.clear();
  durableNames_.clear();
  endProcess();
}

}  // namespace shedshed
