/** @file json_func.h Compact JSON text through jsoncpp. */
#ifndef TURMERIC_STATE_JSON_FUNC_H_
#define TURMERIC_STATE_JSON_FUNC_H_

#include <json/json.h>

#include <string>

namespace turmeric {

/** @return @p v as JSON on one line, with sorted keys. */
std::string json_text(const Json::Value& v);

/** Default limit on the nesting depth of JSON texts, which all messages of this
 * program meet. */
constexpr int max_json_depth = 32;

/** Parses @p text into @p out.
 * @param max_depth Deeper nesting is rejected.
 * @return Whether it is valid JSON within @p max_depth; never throws. */
bool json_parse(const std::string& text,
                Json::Value* out,
                int max_depth = max_json_depth);

}  // namespace turmeric

#endif  // TURMERIC_STATE_JSON_FUNC_H_
