/** @file result_code.cpp The result code table. */
#include "turmeric/state/result_code_type.h"

namespace turmeric {

const std::vector<result_code_row>& result_code_table() {
  static const std::vector<result_code_row> table = {
#define TURMERIC_RESULT(name, number, final, text) \
  {result_code::name, #name, final, text},
#include "turmeric/state/table/result_codes.h"
#undef TURMERIC_RESULT
  };
  return table;
}

const result_code_row& row_of(result_code code) {
  for (const auto& row : result_code_table()) {
    if (row.code == code)
      return row;
  }
  return result_code_table().back();
}

bool says_not_run(result_code code) {
  // The codes from 40 to 49 are those of requests that did not run.
  const auto number = static_cast<int>(code);
  const bool is_refusal = number >= 40 && number <= 49;
  return is_refusal || code == result_code::too_large;
}

}  // namespace turmeric
