#include "endiveyard/bookings/idempotency_log_line.h"

#include <cctype>
#include <charconv>

#include "endiveyard/base/digest.h"

namespace endiveyard {
namespace {

constexpr char kHexDigits[] = "0123456789abcdef";
constexpr size_t kHexWidth = 16;

std::string ToHex(uint64_t number) {
  std::string out(kHexWidth, '0');
  for (size_t i = kHexWidth; i > 0 && number != 0; --i) {
    out[i - 1] = kHexDigits[number & 0xf];
    number >>= 4;
  }
  return out;
}

template <typename T>
bool ParseNumber(std::string_view text, int base, T* number) {
  const auto result =
      std::from_chars(text.data(), text.data() + text.size(), *number, base);
  return result.ec == std::errc() && result.ptr == text.data() + text.size();
}

// Percent-encodes '%', spaces and all bytes that are not printable ASCII, so
// that any body fits into one line, and the line into a JSON string.
std::string PercentEncode(std::string_view text) {
  std::string out;
  out.reserve(text.size());
  for (char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (byte <= ' ' || byte > '~' || c == '%') {
      out.push_back('%');
      out.push_back(kHexDigits[byte >> 4]);
      out.push_back(kHexDigits[byte & 0xf]);
    } else {
      out.push_back(c);
    }
  }
  return out;
}

bool PercentDecode(std::string_view text, std::string* out) {
  out->clear();
  out->reserve(text.size());
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      out->push_back(text[i]);
      continue;
    }
    unsigned char byte = 0;
    if (i + 2 >= text.size() ||
        !ParseNumber(text.substr(i + 1, 2), 16, &byte)) {
      return false;
    }
    out->push_back(static_cast<char>(byte));
    i += 2;
  }
  return true;
}

// Removes the text up to and including `delimiter` from `rest` and returns it
// without the delimiter.
std::string_view TakeField(std::string_view* rest, char delimiter) {
  const size_t n = rest->find(delimiter);
  const std::string_view part = rest->substr(0, n);
  *rest = n == std::string_view::npos ? "" : rest->substr(n + 1);
  return part;
}

bool ParseLine(std::string_view text, IdempotencyLogLine* line) {
  const std::string_view kind = TakeField(&text, ' ');
  const std::string_view key = TakeField(&text, ' ');
  if (key.size() != 2 * kHexWidth ||
      !ParseNumber(key.substr(0, kHexWidth), 16, &line->key.high) ||
      !ParseNumber(key.substr(kHexWidth), 16, &line->key.low) ||
      !ParseNumber(TakeField(&text, ' '), 10, &line->intent)) {
    return false;
  }
  if (kind == "I") {
    line->kind = IdempotencyLogLineKind::kIntent;
    return ParseNumber(text, 16, &line->fingerprint);
  }
  if (kind == "N") {
    line->kind = IdempotencyLogLineKind::kNotRun;
    return text.empty();
  }
  line->kind = IdempotencyLogLineKind::kResult;
  if (kind == "X") {
    return text.empty();
  }
  line->stored = true;
  return kind == "R" && ParseNumber(TakeField(&text, ' '), 10, &line->status) &&
         PercentDecode(TakeField(&text, ' '), &line->content_type) &&
         PercentDecode(text, &line->body);
}

}  // namespace

IdempotencyKeyDigest MakeIdempotencyKeyDigest(
    std::string_view house,
    std::string_view idempotency_key) {
  // The length prefix distinguishes ("a", "bc") from ("ab", "c").
  std::string text = std::to_string(house.size());
  text.push_back(':');
  text.append(house).append(idempotency_key);
  const std::string hex = Sha256Hex(text);
  const std::string_view view(hex);
  IdempotencyKeyDigest out;
  ParseNumber(view.substr(0, kHexWidth), 16, &out.high);
  ParseNumber(view.substr(kHexWidth, kHexWidth), 16, &out.low);
  return out;
}

int IdempotencyShardOf(const IdempotencyKeyDigest& key) {
  return static_cast<int>(key.high % kIdempotencyShards);
}

std::string IdempotencyLogName(int shard) {
  std::string digits = std::to_string(shard);
  return "bookings/" + std::string(digits.size() < 2 ? "0" : "") + digits;
}

std::string FormatIdempotencyLogLine(const IdempotencyLogLine& line) {
  std::string out;
  const auto append_header = [&](std::string_view kind) {
    out.append(kind).append(" ");
    out.append(ToHex(line.key.high)).append(ToHex(line.key.low)).append(" ");
    out.append(std::to_string(line.intent));
  };
  switch (line.kind) {
    case IdempotencyLogLineKind::kIntent:
      append_header("I");
      out.append(" ").append(ToHex(line.fingerprint));
      break;
    case IdempotencyLogLineKind::kNotRun:
      append_header("N");
      break;
    case IdempotencyLogLineKind::kResult:
      append_header(line.stored ? "R" : "X");
      if (line.stored) {
        out.append(" ").append(std::to_string(line.status)).append(" ");
        out.append(PercentEncode(line.content_type)).append(" ");
        out.append(PercentEncode(line.body));
      }
      break;
  }
  return out;
}

std::string FormatIdempotencyBatch(int64_t wall_ms,
                                   const std::vector<std::string>& lines) {
  std::string out = std::to_string(wall_ms);
  for (const std::string& it : lines) {
    out.append("\n").append(it);
  }
  return out;
}

bool ParseIdempotencyBatch(std::string_view payload, IdempotencyBatch* batch) {
  batch->lines.clear();
  if (!ParseNumber(TakeField(&payload, '\n'), 10, &batch->wall_ms)) {
    return false;
  }
  while (!payload.empty()) {
    IdempotencyLogLine line;
    if (!ParseLine(TakeField(&payload, '\n'), &line)) {
      return false;
    }
    batch->lines.push_back(std::move(line));
  }
  return true;
}

}  // namespace endiveyard
