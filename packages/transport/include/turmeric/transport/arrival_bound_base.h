/** @file arrival_bound_base.h Bounds how long datagrams may have waited in a
 * socket, for systems that give no times of arrival. */
#ifndef TURMERIC_TRANSPORT_ARRIVAL_BOUND_BASE_H_
#define TURMERIC_TRANSPORT_ARRIVAL_BOUND_BASE_H_

#include <array>
#include <cstddef>

#include "turmeric/state/time_type.h"

namespace turmeric {

/** Earliest time at which the datagrams in a socket can have arrived. A socket
 * that was empty holds later ones only; so does one from which as many have
 * been read since as it can hold. For one thread. */
class arrival_bound {
 public:
  /** @param since Time since which datagrams may wait in the socket.
   * @param capacity Most datagrams that the socket can hold. */
  arrival_bound(time_us since, size_t capacity)
      : reads_per_mark_(capacity / (mark_count - 1) + 1) {
    marks_.fill(since);
  }

  /** @return When the datagrams that are read next can have arrived. */
  time_us earliest() const { return marks_[oldest_]; }

  /** Records that @p count datagrams were read at @p now.
   * @param empty Whether the socket holds no more. */
  void on_read(time_us now, size_t count, bool empty) {
    reads_since_mark_ += count;
    if (empty) {
      marks_.fill(now);
    } else if (reads_since_mark_ >= reads_per_mark_) {
      marks_[oldest_] = now;
      oldest_ = (oldest_ + 1) % mark_count;
    } else {
      return;
    }
    reads_since_mark_ = 0;
  }

 private:
  static constexpr size_t mark_count = 8;

  size_t reads_per_mark_;
  size_t reads_since_mark_ = 0;
  /** Times between which `reads_per_mark_` datagrams or more were read. As many
   * as the socket can hold were read since the oldest. */
  std::array<time_us, mark_count> marks_{};
  size_t oldest_ = 0;
};

}  // namespace turmeric

#endif  // TURMERIC_TRANSPORT_ARRIVAL_BOUND_BASE_H_
