/** @file result_code_type.h Numbered result codes and their name table. */
#ifndef TURMERIC_STATE_RESULT_CODE_TYPE_H_
#define TURMERIC_STATE_RESULT_CODE_TYPE_H_

#include <cstdint>
#include <string_view>
#include <vector>

namespace turmeric {

/** Outcomes that are reported to callers and operators and in the log. */
enum class result_code : uint16_t {
#define TURMERIC_RESULT(name, number, final, text) name = number,
#include "turmeric/state/table/result_codes.h"
#undef TURMERIC_RESULT
  end = 100,  ///< Above the highest number, which is that of `internal`.
};

/** A row of the result code table. */
struct result_code_row {
  result_code code;
  std::string_view name;
  bool ends_request;  ///< Whether the code is the final result of a request.
  std::string_view description;
};

/** @return All rows, in the order of their numbers. */
const std::vector<result_code_row>& result_code_table();

/** @return The row of @p code, or that of `internal` if it has none. */
const result_code_row& row_of(result_code code);

/** @return Whether @p code guarantees that the request did not run. */
bool says_not_run(result_code code);

}  // namespace turmeric

#endif  // TURMERIC_STATE_RESULT_CODE_TYPE_H_
