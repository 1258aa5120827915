// Forward declarations of the platform module: the store, the host list and
// what they publish.
#ifndef JACINTHDECK_PLATFORM_FWD_H_
#define JACINTHDECK_PLATFORM_FWD_H_

namespace jacinthdeck {

class HostListClient;
class HttpClient;
class HttpHostListClient;
class HttpStoreClient;
class JsonReader;
class StoreClient;
struct HttpAnswer;
struct HttpCall;
struct HttpEndpoint;
struct HttpHeader;
struct JsonDeleter;
struct StorePut;
struct StoreWrite;

}  // namespace jacinthdeck

#endif  // JACINTHDECK_PLATFORM_FWD_H_
