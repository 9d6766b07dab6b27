#include "store/files.hpp"

#include <dirent.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

namespace cedarplank::store {
namespace {

std::error_code last_error() { return {errno, std::generic_category()}; }

class Descriptor {
 public:
  explicit Descriptor(int fd) : fd_(fd) {}
  ~Descriptor() {
    if (fd_ >= 0) close(fd_);
  }
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;
  int get() const { return fd_; }

 private:
  int fd_;
};

class PosixFile final : public File {
 public:
  explicit PosixFile(int fd) : fd_(fd) {}
  std::error_code write(std::uint64_t at, std::string_view bytes, std::size_t& written) override {
    written = 0;
    while (written < bytes.size()) {
      const auto n =
          pwrite(fd_.get(), bytes.data() + written, bytes.size() - written, static_cast<off_t>(at + written));
      if (n < 0 && errno == EINTR) continue;
      if (n < 0) return last_error();
      if (n == 0) return std::make_error_code(std::errc::no_space_on_device);
      written += static_cast<std::size_t>(n);
    }
    return {};
  }
  std::error_code read(std::uint64_t at, std::size_t size, std::string& out) override {
    out.resize(size);
    std::size_t have = 0;
    while (have < size) {
      const auto n = pread(fd_.get(), out.data() + have, size - have, static_cast<off_t>(at + have));
      if (n < 0 && errno == EINTR) continue;
      if (n < 0) return last_error();
      if (n == 0) break;
      have += static_cast<std::size_t>(n);
    }
    out.resize(have);
    return {};
  }
  std::error_code sync() override { return fdatasync(fd_.get()) == 0 ? std::error_code() : last_error(); }
  std::error_code allocate(std::uint64_t size) override {
    const int error = posix_fallocate(fd_.get(), 0, static_cast<off_t>(size));
    return {error, std::generic_category()};
  }
  std::error_code size(std::uint64_t& out) override {
    struct stat s {};
    if (fstat(fd_.get(), &s) != 0) return last_error();
    out = static_cast<std::uint64_t>(s.st_size);
    return {};
  }

 private:
  Descriptor fd_;
};

class PosixFolder final : public Files {
 public:
  PosixFolder(const std::string& path, bool create_if_missing)
      : path_(path), fd_(make(path, create_if_missing)), lock_(take_lock(path, fd_.get())) {}
  std::error_code open(const std::string& name, OpenMode how, std::unique_ptr<File>& out) override {
    const int fd = openat(fd_.get(), name.c_str(),
                          O_RDWR | O_CLOEXEC | (how == OpenMode::create ? O_CREAT | O_EXCL : 0), 0600);
    if (fd < 0) return last_error();
    out = std::make_unique<PosixFile>(fd);
    return {};
  }
  std::error_code list(std::vector<std::string>& names) override {
    names.clear();
    DIR* dir = opendir(path_.c_str());
    if (dir == nullptr) return last_error();
    std::error_code error;
    for (;;) {
      errno = 0;  // readdir reports an error only through errno
      const dirent* entry = readdir(dir);
      if (entry == nullptr) {
        if (errno != 0) error = last_error();
        break;
      }
      if (entry->d_name[0] != '.') names.emplace_back(entry->d_name);
    }
    closedir(dir);
    return error;
  }
  std::error_code rename(const std::string& from, const std::string& to) override {
    return renameat(fd_.get(), from.c_str(), fd_.get(), to.c_str()) == 0 ? std::error_code() : last_error();
  }
  std::error_code remove(const std::string& name) override {
    return unlinkat(fd_.get(), name.c_str(), 0) == 0 ? std::error_code() : last_error();
  }
  std::error_code sync_folder() override { return fsync(fd_.get()) == 0 ? std::error_code() : last_error(); }

 private:
  static int make(const std::string& path, bool create_if_missing) {
    if (create_if_missing && mkdir(path.c_str(), 0700) != 0 && errno != EEXIST)
      throw std::system_error(last_error(), path);
    const int fd = ::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (fd < 0) throw std::system_error(last_error(), path);
    return fd;
  }
  static int take_lock(const std::string& path, int folder) {
    // Created only if missing: an existing folder must open even on a full device.
    int fd = openat(folder, ".lock", O_RDWR | O_CLOEXEC);
    if (fd < 0 && errno == ENOENT) fd = openat(folder, ".lock", O_RDWR | O_CREAT | O_CLOEXEC, 0600);
    if (fd < 0) throw std::system_error(last_error(), path + "/.lock");
    if (flock(fd, LOCK_EX | LOCK_NB) == 0) return fd;
    const auto error = last_error();
    close(fd);
    throw std::system_error(error, path + ": the journal is locked by another process");
  }
  std::string path_;
  Descriptor fd_, lock_;
};

}  // namespace

std::unique_ptr<Files> open_folder(const std::string& path, FolderMode how) {
  return std::make_unique<PosixFolder>(path, how == FolderMode::create_if_missing);
}

}  // namespace cedarplank::store
