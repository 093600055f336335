/** @file directory_core_internal.h Order in which the directory core reads the
 * kinds of entries. */
#ifndef TURMERIC_COORDINATION_SRC_DIRECTORY_CORE_INTERNAL_H_
#define TURMERIC_COORDINATION_SRC_DIRECTORY_CORE_INTERNAL_H_

#include <array>

#include "turmeric/state/directory_type.h"

namespace turmeric {

/** Kinds in the order in which they are read. Targets come last, so that their
 * revision is not below the one at which the withdrawals were read. */
inline constexpr std::array<directory_kind, directory_kinds> call_order = {
    directory_kind::withdrawals, directory_kind::routing,
    directory_kind::targets};

}  // namespace turmeric

#endif  // TURMERIC_COORDINATION_SRC_DIRECTORY_CORE_INTERNAL_H_
