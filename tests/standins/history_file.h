/** @file history_file.h History files, which stand-ins write and standin_check
 * reads. */
#ifndef TURMERIC_TESTS_STANDINS_HISTORY_FILE_H_
#define TURMERIC_TESTS_STANDINS_HISTORY_FILE_H_

#include <json/json.h>

#include <cstdio>
#include <memory>
#include <mutex>
#include <string>

namespace turmeric::tests {

/** Appends events to a file, one JSON line each; may be used by several
 * threads. Lines are flushed at once, so that they are kept if the process is
 * killed. */
class history_file {
 public:
  /** @param path Opened for appending. If it is empty or cannot be opened,
   * events are dropped. */
  explicit history_file(const std::string& path);

  /** Appends one event. */
  void write(const Json::Value& event);

 private:
  struct closer {
    void operator()(std::FILE* file) const { std::fclose(file); }
  };
  std::unique_ptr<std::FILE, closer> file_;
  std::mutex mutex_;
};

}  // namespace turmeric::tests

#endif  // TURMERIC_TESTS_STANDINS_HISTORY_FILE_H_
