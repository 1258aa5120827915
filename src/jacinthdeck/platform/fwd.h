// Forward declarations of the platform module: the store, the host list and
// what they publish.
#ifndef JACINTHDECK_PLATFORM_FWD_H_
#define JACINTHDECK_PLATFORM_FWD_H_

namespace jacinthdeck {

class JsonReader;
struct JsonDeleter;

}  // namespace jacinthdeck

#endif  // JACINTHDECK_PLATFORM_FWD_H_
