/** @file error.cpp Rendering of errors. */
#include "turmeric/state/error_type.h"

#include <fmt/format.h>

namespace turmeric {

std::string to_text(const error& e) {
  std::string where = e.file;
  if (e.line > 0)
    where += fmt::format(":{}", e.line);
  if (!where.empty())
    where += ": ";
  return fmt::format("{}{} (error {} {})", where, e.message,
                     static_cast<int>(e.code), row_of(e.code).name);
}

}  // namespace turmeric
