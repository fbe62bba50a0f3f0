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

void ReadBuffer::Consume(size_t n) {
  received_.consume(n);
  if (received_.size() == 0 && received_.capacity() > kMaxKeptBytes) {
    Release();
  }
}

void ReadBuffer::Release() {
  received_.clear();
  received_.shrink_to_fit();
}

}  // namespace endiveyard
