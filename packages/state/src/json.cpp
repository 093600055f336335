/** @file json.cpp JSON reader and writer with fixed options. */
#include "turmeric/state/json_func.h"

#include <memory>

namespace turmeric {

std::string json_text(const Json::Value& v) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, v);
}

bool json_parse(const std::string& text, Json::Value* out, int max_depth) {
  Json::CharReaderBuilder builder;
  builder["stackLimit"] = max_depth;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  std::string errors;
  try {
    return reader->parse(text.data(), text.data() + text.size(), out, &errors);
  } catch (const Json::Exception&) {
    // JsonCpp throws if the nesting exceeds stackLimit.
    return false;
  }
}

}  // namespace turmeric
