/** @file emu_streams.cpp Callers that keep a flow open for many requests. */
#include "emu_world.h"

namespace turmeric::tests {
namespace {

constexpr time_us first_retransmit = 200 * us_per_ms;
/** Bytes of a request, by which the flow's sequence number advances. */
constexpr uint32_t request_bytes = 100;

}  // namespace

void emu_world::start_streams() {
  for (size_t i = 1; i <= options_.shape.streams; ++i) {
    streams_[i].zone = i % options_.shape.zones;
    clock_.after(options_.warm_up, [this, i] { await_stream_request(i); });
  }
}

void emu_world::await_stream_request(uint64_t number) {
  const auto range = static_cast<uint64_t>(2 * options_.shape.stream_pause);
  clock_.after(1 + static_cast<time_us>(random() % range),
               [this, number] { issue_stream_request(number); });
}

void emu_world::issue_stream_request(uint64_t number) {
  stream& s = streams_.at(number);
  request r;
  r.number = next_number_++;
  r.zone = s.zone;
  r.issued_at = clock_.now();
  r.stream = number;
  ++report_.outcomes[r.class_index].requests;
  requests_[r.number] = r;
  clock_.after(options_.shape.request_classes[r.class_index].deadline,
               [this, number = r.number] {
                 const auto it = requests_.find(number);
                 if (it == requests_.end())
                   return;
                 // The caller gives up the flow together with the request.
                 flow& last = flows_[streams_.at(it->second.stream).flow];
                 last.ended = true;
                 finish_request(&it->second, false);
               });
  const auto open = flows_.find(s.flow);
  if (open == flows_.end() || open->second.ended || !open->second.connected) {
    start_attempt(r.number);
    return;
  }
  flow& f = open->second;
  ++requests_.at(r.number).attempts;
  f.request = r.number;
  f.answered = false;
  f.request_sequence += request_bytes;
  f.request_copies = 0;
  send_request(f.number, f.request_sequence, first_retransmit);
}

void emu_world::on_stream_answer(flow* f, flow_token token) {
  if (f->answered)
    return;
  f->token = token;
  f->answered = true;
  f->acknowledged += 600;
  segment s = f->header;
  s.flags.acknowledges = true;
  s.token = token;
  s.acknowledged = f->acknowledged;
  s.sequence = f->request_sequence + request_bytes;
  send_segment(*f, s);
  const auto r = requests_.find(f->request);
  if (r != requests_.end())
    finish_request(&r->second, true);
}

void emu_world::count_stream_request(const request& r,
                                     bool served,
                                     bool in_time) {
  emu_outcome& out = report_.streams;
  ++out.requests;
  (in_time ? out.in_time : served ? out.late : out.failed) += 1;
  if (served)
    out.latencies.push_back(clock_.now() - r.issued_at);
}

}  // namespace turmeric::tests
