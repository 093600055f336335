/** @file restored_value_internal.h What stays believed of an entry when a newer
 * value of it arrives. */
#ifndef TURMERIC_COORDINATION_SRC_RESTORED_VALUE_INTERNAL_H_
#define TURMERIC_COORDINATION_SRC_RESTORED_VALUE_INTERNAL_H_

#include <memory>

#include "turmeric/state/directory_type.h"

namespace turmeric {

/** @return The value to use when @p next arrives after @p known. A routing
 * configuration of a lower version never replaces one of a higher version:
 * operators number them upwards, also after a restore.
 * @param known Null if there is none.
 * @param restored Whether @p next was read from a registry that was restored
 * from an older copy since. A target that was draining then stays so, and one
 * that has started again is not taken for its earlier process. */
std::shared_ptr<const directory_value> merged_value(
    const std::shared_ptr<const directory_value>& known,
    const std::shared_ptr<const directory_value>& next,
    bool restored);

}  // namespace turmeric

#endif  // TURMERIC_COORDINATION_SRC_RESTORED_VALUE_INTERNAL_H_
