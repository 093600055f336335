/** @file ini_func.h Reading of INI files, with line numbers, by inih. */
#ifndef TURMERIC_STATE_INI_FUNC_H_
#define TURMERIC_STATE_INI_FUNC_H_

#include <string>
#include <vector>

#include "turmeric/state/error_type.h"

namespace turmeric {

/** One "name = value" line. */
struct ini_line {
  std::string section;
  std::string name;
  std::string value;
  int line_number = 0;
};

/** Reads all lines of @p path.
 * @return `file_unreadable`, or `declaration_invalid` with the line. */
result<std::vector<ini_line>> read_ini(const std::string& path);

/** Reads all lines of @p text; @p origin names it in errors. */
result<std::vector<ini_line>> parse_ini(const std::string& text,
                                        const std::string& origin);

}  // namespace turmeric

#endif  // TURMERIC_STATE_INI_FUNC_H_
