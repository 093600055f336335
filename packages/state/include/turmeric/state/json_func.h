/** @file json_func.h Compact JSON text through jsoncpp. */
#ifndef TURMERIC_STATE_JSON_FUNC_H_
#define TURMERIC_STATE_JSON_FUNC_H_

#include <json/json.h>

#include <string>

namespace turmeric {

/** @return @p v on one line, keys sorted. */
std::string json_text(const Json::Value& v);

/** Levels of nesting that a message of our own may have. */
constexpr int json_depth = 32;

/** Parses @p text into @p out.
 * @param depth Levels of nesting that are read at most.
 * @return Whether it is valid JSON; never throws. */
bool json_parse(const std::string& text,
                Json::Value* out,
                int depth = json_depth);

}  // namespace turmeric

#endif  // TURMERIC_STATE_JSON_FUNC_H_
