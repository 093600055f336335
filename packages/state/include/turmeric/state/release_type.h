/** @file release_type.h Number of this release. docs/RELEASE.md says when it
 * rises. */
#ifndef TURMERIC_STATE_RELEASE_TYPE_H_
#define TURMERIC_STATE_RELEASE_TYPE_H_

#include <cstdint>

namespace turmeric {

/** The first release sends no number, which counts as 1. */
constexpr uint32_t own_release = 2;

}  // namespace turmeric

#endif  // TURMERIC_STATE_RELEASE_TYPE_H_
