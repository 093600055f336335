/** @file member.cpp Usability and names of member states. */
#include <array>

#include "turmeric/state/member_type.h"

namespace turmeric {

bool is_usable(const member_record& member) {
  return member.state == member_state::live ||
         member.state == member_state::suspect;
}

std::string_view name_of(member_state state) {
  static constexpr std::array<std::string_view, 4> names = {"live", "suspect",
                                                            "leaving", "dead"};
  static_assert(names.size() == static_cast<size_t>(member_state::end));
  const auto i = static_cast<size_t>(state);
  return i < names.size() ? names[i] : "unknown";
}

}  // namespace turmeric
