/** @file error.cpp Text form of errors. */
#include "turmeric/state/error_type.h"

#include <fmt/format.h>

namespace turmeric {

std::string to_text(const error& e) {
  std::string location = e.file;
  if (e.line > 0)
    location += fmt::format(":{}", e.line);
  if (!location.empty())
    location += ": ";
  return fmt::format("{}{} (error {} {})", location, e.message,
                     static_cast<int>(e.code), row_of(e.code).name);
}

}  // namespace turmeric
