/** @file error_type.h The error value carried by results. */
#ifndef TURMERIC_STATE_ERROR_TYPE_H_
#define TURMERIC_STATE_ERROR_TYPE_H_

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/all_narrow.hpp>
#include <boost/outcome/success_failure.hpp>
#include <string>

#include "turmeric/state/result_code_type.h"

namespace turmeric {

/** An error with its code, a message for the operator and the place in the file
 * that caused it. */
struct error {
  result_code code = result_code::internal;
  std::string message;
  std::string file;  ///< Empty when no file is involved.
  int line = 0;      ///< First line is 1; 0 when no line is involved.
};

/** Either a value or an error. */
template <typename T>
using result = boost::outcome_v2::
    basic_result<T, error, boost::outcome_v2::policy::all_narrow>;

/** @return A failed result with an error of these fields. */
inline auto fail(result_code code,
                 std::string message,
                 std::string file = "",
                 int line = 0) {
  return boost::outcome_v2::failure(
      error{code, std::move(message), std::move(file), line});
}

/** @return "file:line: message (code number name)" without empty parts. */
std::string to_text(const error& e);

}  // namespace turmeric

#endif  // TURMERIC_STATE_ERROR_TYPE_H_
