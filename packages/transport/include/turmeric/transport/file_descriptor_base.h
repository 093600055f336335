/** @file file_descriptor_base.h Owner of one file descriptor. */
#ifndef TURMERIC_TRANSPORT_FILE_DESCRIPTOR_BASE_H_
#define TURMERIC_TRANSPORT_FILE_DESCRIPTOR_BASE_H_

#include <unistd.h>

#include <utility>

namespace turmeric {

/** Owns a file descriptor and closes it on destruction. Move-only; a move
 * assignment swaps the descriptors. */
class file_descriptor {
 public:
  file_descriptor() = default;
  explicit file_descriptor(int fd) : fd_(fd) {}
  file_descriptor(file_descriptor&& o) noexcept
      : fd_(std::exchange(o.fd_, -1)) {}
  file_descriptor& operator=(file_descriptor&& o) noexcept {
    std::swap(fd_, o.fd_);
    return *this;
  }
  ~file_descriptor() {
    if (fd_ >= 0)
      close(fd_);
  }

  int get() const { return fd_; }
  bool valid() const { return fd_ >= 0; }

 private:
  int fd_ = -1;
};

}  // namespace turmeric

#endif  // TURMERIC_TRANSPORT_FILE_DESCRIPTOR_BASE_H_
