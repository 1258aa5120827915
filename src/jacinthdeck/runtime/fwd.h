// Forward declarations of the runtime module.
#ifndef JACINTHDECK_RUNTIME_FWD_H_
#define JACINTHDECK_RUNTIME_FWD_H_

namespace jacinthdeck {}  // namespace jacinthdeck

#endif  // JACINTHDECK_RUNTIME_FWD_H_
