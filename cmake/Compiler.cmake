# Strict warnings for our own code, ccache where it is installed.
option(JACINTHDECK_WARNINGS_AS_ERRORS "Fail the build on a warning in our own code" OFF)
add_library(jacinthdeck_warnings INTERFACE)
target_compile_options(jacinthdeck_warnings INTERFACE
  -Wall -Wextra -Wpedantic -Wshadow -Wnon-virtual-dtor -Wold-style-cast
  -Wcast-align -Woverloaded-virtual -Wimplicit-fallthrough)
if(JACINTHDECK_WARNINGS_AS_ERRORS)
  target_compile_options(jacinthdeck_warnings INTERFACE -Werror)
endif()
if(CMAKE_UNITY_BUILD)
  # Where several files are read as one, a fixture of an anonymous namespace looks shared, and a local name looks as if it
  # hid a name of another file. The usual build has both warnings.
  target_compile_options(jacinthdeck_warnings INTERFACE -Wno-subobject-linkage -Wno-shadow)
endif()
if(JACINTHDECK_SANITIZE)
  # Optimiser-driven warnings are unreliable under the sanitizers (and -Wnull-dereference anywhere:
  # it fires inside inlined library code).
  target_compile_options(jacinthdeck_warnings INTERFACE -Wno-maybe-uninitialized)
  add_compile_options(-fsanitize=${JACINTHDECK_SANITIZE} -fno-omit-frame-pointer -fno-sanitize-recover=all)
  add_link_options(-fsanitize=${JACINTHDECK_SANITIZE})
  if(JACINTHDECK_SANITIZE STREQUAL "thread")
    # GCC warns that the sanitizer does not know the fences of Boost.Asio, which guard no data of ours.
    target_compile_options(jacinthdeck_warnings INTERFACE -Wno-tsan)
  endif()
endif()

find_program(CCACHE_PROGRAM ccache)
if(CCACHE_PROGRAM)
  set(CMAKE_CXX_COMPILER_LAUNCHER
      ${CMAKE_COMMAND} -E env
      CCACHE_SLOPPINESS=pch_defines,time_macros,include_file_mtime,include_file_ctime
      CCACHE_BASEDIR=${CMAKE_SOURCE_DIR} CCACHE_NOHASHDIR=true ${CCACHE_PROGRAM})
  add_compile_options(-fpch-preprocess)
endif()
