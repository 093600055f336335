/** @file history_file.cpp Writes the history files of the stand-ins. */
#include "history_file.h"

#include "turmeric/state/json_func.h"

namespace turmeric::tests {

history_file::history_file(const std::string& path) {
  if (!path.empty())
    file_.reset(std::fopen(path.c_str(), "a"));
}

void history_file::write(const Json::Value& event) {
  if (!file_)
    return;
  const std::string line = json_text(event) + "\n";
  const std::lock_guard<std::mutex> lock(mutex_);
  std::fputs(line.c_str(), file_.get());
  std::fflush(file_.get());
}

}  // namespace turmeric::tests
