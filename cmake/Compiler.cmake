# Warnings for the project's own code, the sanitizer options, and ccache if it is installed.
option(JACINTHDECK_WARNINGS_AS_ERRORS "Fail the build on a warning in our own code" OFF)
add_library(jacinthdeck_warnings INTERFACE)
target_compile_options(jacinthdeck_warnings INTERFACE
  -Wall -Wextra -Wpedantic -Wshadow -Wnon-virtual-dtor -Wold-style-cast
  -Wcast-align -Woverloaded-virtual -Wimplicit-fallthrough)
if(JACINTHDECK_WARNINGS_AS_ERRORS)
  target_compile_options(jacinthdeck_warnings INTERFACE -Werror)
endif()
if(CMAKE_UNITY_BUILD)
  # A unity build includes several source files into one, as if they were headers. GCC then reports a fixture of an anonymous
  # namespace as shared by several files, and a local name as hiding a name of another file. Other builds have both warnings.
  target_compile_options(jacinthdeck_warnings INTERFACE -Wno-subobject-linkage -Wno-shadow)
endif()
if(JACINTHDECK_SANITIZE)
  # Warnings that depend on the optimizer are unreliable under the sanitizers. -Wnull-dereference is unreliable in every
  # build, because it fires inside inlined library code, and so it is not among the warnings above.
  target_compile_options(jacinthdeck_warnings INTERFACE -Wno-maybe-uninitialized)
  add_compile_options(-fsanitize=${JACINTHDECK_SANITIZE} -fno-omit-frame-pointer -fno-sanitize-recover=all)
  add_link_options(-fsanitize=${JACINTHDECK_SANITIZE})
  if(JACINTHDECK_SANITIZE STREQUAL "thread")
    # GCC warns that the thread sanitizer does not support the fences in Boost.Asio. They guard no data of this project.
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
