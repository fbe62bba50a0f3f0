#ifndef ENDIVEYARD_SRC_RELAY_READ_BUFFER_H_
#define ENDIVEYARD_SRC_RELAY_READ_BUFFER_H_

#include <array>
#include <cstddef>

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

namespace endiveyard {

// Bytes received on a connection that is read while earlier bytes are parsed.
// A read in progress writes into an area of its own, so that consuming bytes
// never moves or reuses memory that the read still fills.
class ReadBuffer {
 public:
  // Starts a read of up to the size of the returned area. At most one read is
  // in progress at a time.
  boost::asio::mutable_buffer StartRead();
  // Ends the read and appends the `n` bytes that it has received.
  void FinishRead(size_t n);
  bool is_reading() const { return is_reading_; }

  // Bytes received and not yet consumed.
  boost::asio::const_buffer data() const { return received_.data(); }
  size_t size() const { return received_.size(); }
  void Consume(size_t n);
  // Memory held for received bytes.
  size_t held_bytes() const { return received_.capacity(); }
  // Discards what was received.
  void Release();

 private:
  // Memory above this is freed when all bytes are consumed. Requests that
  // arrive one by one need no more.
  static constexpr size_t kMaxKeptBytes = 16384;
  static constexpr size_t kReadBytes = 8192;

  std::array<char, kReadBytes> read_area_;
  boost::beast::flat_buffer received_;
  bool is_reading_ = false;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_SRC_RELAY_READ_BUFFER_H_
