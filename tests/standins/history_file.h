/** @file history_file.h History lines written by stand-ins, read by checkers.
 */
#ifndef TURMERIC_TESTS_STANDINS_HISTORY_FILE_H_
#define TURMERIC_TESTS_STANDINS_HISTORY_FILE_H_

#include <json/json.h>

#include <cstdio>
#include <memory>
#include <mutex>
#include <string>

namespace turmeric::tests {

/** Appends JSON lines to a file; each line is flushed. */
class history_file {
 public:
  /** @param path Empty for no file. */
  explicit history_file(const std::string& path);

  /** Writes one event. */
  void write(const Json::Value& event);

 private:
  struct closer {
    void operator()(std::FILE* f) const { std::fclose(f); }
  };
  std::unique_ptr<std::FILE, closer> file_;
  std::mutex mutex_;
};

}  // namespace turmeric::tests

#endif  // TURMERIC_TESTS_STANDINS_HISTORY_FILE_H_
