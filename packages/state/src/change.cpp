/** @file change.cpp JSON form of changes and snapshots. */
#include "turmeric/state/change_func.h"
#include "turmeric/state/json_func.h"

namespace turmeric {
namespace {

Json::Value entry_to_json(const config_entry& entry) {
  Json::Value v;
  v["key"] = entry.key;
  v["value"] = entry.value;
  v["changed"] = Json::UInt64(entry.changed_revision);
  return v;
}

bool read_entries(const Json::Value& v, std::vector<config_entry>* out) {
  if (!v.isArray())
    return false;
  for (const auto& item : v) {
    const bool valid = item.isObject() && item["key"].isString() &&
                       item["value"].isString() && item["changed"].isUInt64();
    if (!valid)
      return false;
    out->push_back({item["key"].asString(), item["value"].asString(),
                    item["changed"].asUInt64()});
  }
  return true;
}

}  // namespace

std::string to_json(const config_change& c) {
  Json::Value v;
  v["format"] = c.format;
  v["number"] = Json::UInt64(c.number);
  v["change_id"] = Json::UInt64(c.change_id);
  v["author"] = c.author;
  v["entries"] = Json::arrayValue;
  for (const auto& entry : c.entries)
    v["entries"].append(entry_to_json(entry));
  return json_text(v);
}

result<config_change> change_from_json(const std::string& text) {
  Json::Value v;
  config_change c;
  const bool valid = json_parse(text, &v) && v.isObject() &&
                     v["format"].isUInt() && v["number"].isUInt64() &&
                     v["change_id"].isUInt64() && v["author"].isString();
  if (!valid)
    return fail(result_code::declaration_invalid,
                "not a change: expected format, number, change_id and author");
  c.format = v["format"].asUInt();
  c.number = v["number"].asUInt64();
  c.change_id = v["change_id"].asUInt64();
  c.author = v["author"].asString();
  // Entries of a newer format are not parsed: check_applicable() rejects the
  // change.
  if (c.format <= config_format && !read_entries(v["entries"], &c.entries))
    return fail(result_code::declaration_invalid,
                "change has no list of entries with key, value and changed");
  return c;
}

std::vector<std::string> snapshot_parts(const config_state& state,
                                        size_t max_bytes) {
  std::vector<std::string> parts;
  std::string part = "[";
  for (const auto& [key, entry] : state.entries()) {
    const std::string text = json_text(entry_to_json(entry));
    if (part.size() > 1 && part.size() + text.size() + 2 > max_bytes) {
      parts.push_back(part + "]");
      part = "[";
    }
    if (part.size() > 1)
      part += ",";
    part += text;
  }
  parts.push_back(part + "]");
  return parts;
}

result<std::vector<config_entry>> entries_from_json(const std::string& text) {
  Json::Value v;
  std::vector<config_entry> entries;
  if (!json_parse(text, &v) || !read_entries(v, &entries))
    return fail(result_code::declaration_invalid,
                "not a snapshot part: expected a list of entries");
  return entries;
}

std::string to_json(const snapshot_index& index) {
  Json::Value v;
  v["format"] = index.format;
  v["revision"] = Json::UInt64(index.at_revision);
  v["parts"] = Json::arrayValue;
  for (const auto& part : index.parts)
    v["parts"].append(part);
  return json_text(v);
}

result<snapshot_index> snapshot_index_from_json(const std::string& text) {
  Json::Value v;
  const bool valid = json_parse(text, &v) && v.isObject() &&
                     v["format"].isUInt() && v["revision"].isUInt64() &&
                     v["parts"].isArray();
  if (!valid)
    return fail(result_code::declaration_invalid,
                "not a snapshot index: expected format, revision and parts");
  snapshot_index index;
  index.format = v["format"].asUInt();
  index.at_revision = v["revision"].asUInt64();
  if (index.format > config_format)
    return fail(result_code::format_too_new,
                "the snapshot's format is newer than this program supports");
  for (const auto& part : v["parts"])
    index.parts.push_back(part.asString());
  return index;
}

}  // namespace turmeric
