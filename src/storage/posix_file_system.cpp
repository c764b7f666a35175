#include "storage/posix_file_system.h"

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <fcntl.h>
#include <filesystem>
#include <sys/file.h>
#include <sys/stat.h>
#include <system_error>
#include <unistd.h>

namespace shedshed {
namespace {

constexpr mode_t kFileMode = 0600;
constexpr mode_t kFolderMode = 0700;

Error systemError(const std::string& what, int errorNumber) {
  const ErrorCode code = errorNumber == ENOSPC || errorNumber == EDQUOT ? ErrorCode::StorageFull
                         : errorNumber == ENOENT                        ? ErrorCode::NotFound
                                                                        : ErrorCode::StorageFailed;
  return makeError(code, what + ": " + std::generic_category().message(errorNumber));
}

class FileDescriptor {
 public:
  explicit FileDescriptor(int fd) : fd_(fd) {}
  ~FileDescriptor() {
    if (fd_ >= 0) {
      ::close(fd_);
    }
  }
  FileDescriptor(const FileDescriptor&) = delete;
  FileDescriptor& operator=(const FileDescriptor&) = delete;
  int fd() const { return fd_; }

 private:
  int fd_;
};

class PosixFile : public File {
 public:
  PosixFile(std::string path, int fd) : path_(std::move(path)), descriptor_(fd) {}

  int fd() const { return descriptor_.fd(); }

  Result<std::string> readAt(std::uint64_t offset, std::size_t bytes) const override {
    std::string data(bytes, '\0');
    std::size_t done = 0;
    while (done < bytes) {
      const ssize_t count = ::pread(fd(), &data[done], bytes - done, offset + done);
      if (count < 0 && errno == EINTR) {
        continue;
      }
      if (count < 0) {
        return systemError("read " + path_, errno);
      }
      if (count == 0) {
        return makeError(ErrorCode::StorageFailed, "read past the end of " + path_);
      }
      done += count;
    }
    return data;
  }

  Status allocate(std::uint64_t bytes) override {
    const int failure = ::posix_fallocate(fd(), 0, static_cast<off_t>(bytes));
    if (failure != 0) {
      return systemError("allocate " + path_, failure);
    }
    // The new size must be durable before later calls of fdatasync, so it is synced once here.
    if (::fsync(fd()) != 0) {
      return systemError("sync " + path_, errno);
    }
    return okStatus();
  }

  Status truncate(std::uint64_t bytes) override {
    if (::ftruncate(fd(), static_cast<off_t>(bytes)) != 0) {
      return systemError("truncate " + path_, errno);
    }
    return okStatus();
  }

  Status writeAt(std::uint64_t offset, std::string_view data) override {
    while (!data.empty()) {
      const ssize_t count = ::pwrite(fd(), data.data(), data.size(), offset);
      if (count < 0 && errno == EINTR) {
        continue;
      }
      if (count < 0) {
        return systemError("write " + path_, errno);
      }
      offset += count;
      data.remove_prefix(count);
    }
    return okStatus();
  }

  Status sync() override {
    // Not retried, even on EINTR: a second call may succeed although writes were dropped.
    if (::fdatasync(fd()) != 0) {
      return systemError("sync " + path_, errno);
    }
    return okStatus();
  }

 private:
  std::string path_;
  FileDescriptor descriptor_;
};

class PosixLock : public FileLock {
 public:
  explicit PosixLock(int fd) : descriptor_(fd) {}

 private:
  FileDescriptor descriptor_;
};

}  // namespace

Status PosixFileSystem::createFolder(const std::string& folder) {
  std::error_code error;
  const std::filesystem::path path = std::filesystem::absolute(folder, error).lexically_normal();
  if (error) {
    return systemError("create " + folder, error.value());
  }
  if (std::filesystem::is_directory(path, error)) {
    return okStatus();
  }
  const std::filesystem::path parent = path.parent_path();
  if (parent != path) {
    const Status above = createFolder(parent.string());
    if (!above) {
      return above;
    }
  }
  if (::mkdir(path.c_str(), kFolderMode) != 0 && errno != EEXIST) {
    return systemError("create " + path.string(), errno);
  }
  // The directory entry of a new folder is stored in its parent.
  return syncFolder(parent.string());
}

Result<std::unique_ptr<File>> PosixFileSystem::openPreallocated(const std::string& path,
                                                                std::uint64_t bytes) {
  const int fd = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kFileMode);
  if (fd < 0) {
    return systemError("open " + path, errno);
  }
  auto file = std::make_unique<PosixFile>(path, fd);
  const Status allocated = file->allocate(bytes);
  if (!allocated) {
    return allocated.error();
  }
  return std::unique_ptr<File>(std::move(file));
}

Status PosixFileSystem::syncFolder(const std::string& folder) {
  const FileDescriptor descriptor(::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (descriptor.fd() < 0 || ::fsync(descriptor.fd()) != 0) {
    return systemError("sync folder " + folder, errno);
  }
  return okStatus();
}

Result<std::vector<std::string>> PosixFileSystem::list(const std::string& folder) const {
  std::error_code error;
  std::vector<std::string> names;
  std::filesystem::directory_iterator entry(folder, error);
  const std::filesystem::directory_iterator end;
  while (!error && entry != end) {
    names.push_back(entry->path().filename().string());
    entry.increment(error);
  }
  if (error) {
    return systemError("list " + folder, error.value());
  }
  std::sort(names.begin(), names.end());
  return names;
}

Status PosixFileSystem::rename(const std::string& from, const std::string& to) {
  if (::rename(from.c_str(), to.c_str()) != 0) {
    return systemError("rename " + from, errno);
  }
  return okStatus();
}

Status PosixFileSystem::remove(const std::string& path) {
  if (::unlink(path.c_str()) != 0) {
    return systemError("remove " + path, errno);
  }
  return okStatus();
}

Result<std::unique_ptr<FileLock>> PosixFileSystem::lock(const std::string& path) {
  const int fd = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kFileMode);
  if (fd < 0) {
    return systemError("open " + path, errno);
  }
  auto lock = std::make_unique<PosixLock>(fd);
  if (::flock(fd, LOCK_EX | LOCK_NB) != 0) {
    const int failure = errno;
    if (failure == EWOULDBLOCK) {
      return makeError(ErrorCode::AlreadyExists, "another process holds " + path);
    }
    return systemError("lock " + path, failure);
  }
  return std::unique_ptr<FileLock>(std::move(lock));
}

}  // namespace shedshed
