// Rates of requests.

#ifndef MIMOSA_BASE_RATE_H
#define MIMOSA_BASE_RATE_H

namespace mimosa {

struct RequestRate {
  double PerSecond = 0;

  friend bool operator==(RequestRate A, RequestRate B) {
    return A.PerSecond == B.PerSecond;
  }
  friend bool operator!=(RequestRate A, RequestRate B) { return !(A == B); }
};

} // namespace mimosa

#endif // MIMOSA_BASE_RATE_H
