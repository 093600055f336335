/** @file ini_func.h Reading of INI files, with line numbers, by inih. */
#ifndef TURMERIC_STATE_INI_FUNC_H_
#define TURMERIC_STATE_INI_FUNC_H_

#include <string>
#include <vector>

#include "turmeric/state/error_type.h"

namespace turmeric {

/** One "name = value" line with the section that it is in. */
struct ini_line {
  std::string section;
  std::string name;
  std::string value;
  int line_number = 0;  ///< The first line of the file is 1.
};

/** Reads all "name = value" lines of the file @p path.
 * @return `file_unreadable`, or `declaration_invalid` with the file and the
 * number of the first line that is neither a section nor a setting. */
result<std::vector<ini_line>> read_ini(const std::string& path);

/** Parses all "name = value" lines of @p text.
 * @param origin The file name for errors.
 * @return `declaration_invalid` as in read_ini(). */
result<std::vector<ini_line>> parse_ini(const std::string& text,
                                        const std::string& origin);

}  // namespace turmeric

#endif  // TURMERIC_STATE_INI_FUNC_H_
