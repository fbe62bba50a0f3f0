#include "relay/read_buffer.h"

#include <cassert>

namespace endiveyard {

boost::asio::mutable_buffer ReadBuffer::StartRead() {
  assert(!is_reading_);
  is_reading_ = true;
  return boost::asio::buffer(read_area_);
}

void ReadBuffer::FinishRead(size_t n) {
  assert(is_reading_ && n <= read_area_.size());
  is_reading_ = false;
  boost::asio::buffer_copy(received_.prepare(n),
                           boost::asio::buffer(read_area_, n));
  received_.commit(n);
}

}  // namespace endiveyard
