/** @file json_func.h Compact JSON text through jsoncpp. */
#ifndef TURMERIC_STATE_JSON_FUNC_H_
#define TURMERIC_STATE_JSON_FUNC_H_

#include <json/json.h>

#include <string>

namespace turmeric {

/** @return @p v on one line, keys sorted. */
std::string json_text(const Json::Value& v);

/** Parses @p text into @p out.
 * @return Whether it is valid JSON; never throws. */
bool json_parse(const std::string& text, Json::Value* out);

}  // namespace turmeric

#endif  // TURMERIC_STATE_JSON_FUNC_H_
