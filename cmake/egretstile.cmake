# Common rules of all targets of this workspace.

add_library(egretstile_options INTERFACE)
target_compile_options(egretstile_options INTERFACE -Wall -Wextra -Wpedantic -Wshadow -Wconversion -Werror)

# Adds library egretstile_NAME (alias egretstile::NAME) from source/**/*.cpp of the calling package.
function(egretstile_add_library name)
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/source/*.cpp)
  list(FILTER sources EXCLUDE REGEX "/main\\.cpp$")
  if(NOT sources)
    add_library(egretstile_${name} INTERFACE)
    add_library(egretstile::${name} ALIAS egretstile_${name})
    target_include_directories(egretstile_${name} INTERFACE ${CMAKE_CURRENT_SOURCE_DIR}/include)
    target_link_libraries(egretstile_${name} INTERFACE ${ARGN})
    return()
  endif()
  add_library(egretstile_${name} STATIC ${sources})
  add_library(egretstile::${name} ALIAS egretstile_${name})
  set_target_properties(egretstile_${name} PROPERTIES EXPORT_NAME ${name})
  target_include_directories(egretstile_${name}
    PUBLIC $<BUILD_INTERFACE:${CMAKE_CURRENT_SOURCE_DIR}/include> $<INSTALL_INTERFACE:${CMAKE_INSTALL_INCLUDEDIR}>
    PRIVATE ${CMAKE_CURRENT_SOURCE_DIR}/source)
  target_link_libraries(egretstile_${name} PRIVATE $<BUILD_INTERFACE:egretstile_options> PUBLIC ${ARGN})
endfunction()

# Adds one Catch2 executable NAME_tests from tests/**/*_test.cpp and registers it with CTest.
function(egretstile_add_tests name)
  if(NOT EGRETSTILE_BUILD_TESTING)
    return()
  endif()
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/tests/*.cpp)
  if(NOT sources)
    return()
  endif()
  add_executable(${name}_tests ${sources})
  target_include_directories(${name}_tests PRIVATE ${CMAKE_CURRENT_SOURCE_DIR}/source ${CMAKE_CURRENT_SOURCE_DIR}/tests)
  target_link_libraries(${name}_tests PRIVATE egretstile_options egretstile_test_main ${ARGN})
  add_test(NAME ${name} COMMAND ${name}_tests)
  set_tests_properties(${name} PROPERTIES TIMEOUT 300)
endfunction()

if(EGRETSTILE_BUILD_TESTING)
  find_package(Catch2 REQUIRED)
  add_library(egretstile_test_main STATIC ${CMAKE_CURRENT_SOURCE_DIR}/testing/support/test_main.cpp)
  target_include_directories(egretstile_test_main PUBLIC ${CMAKE_CURRENT_SOURCE_DIR}/testing/support)
  target_link_libraries(egretstile_test_main PUBLIC Catch2::Catch2)
  add_library(egretstile_allocation_peak STATIC ${CMAKE_CURRENT_SOURCE_DIR}/testing/support/allocation_peak.cpp)
  target_link_libraries(egretstile_allocation_peak PRIVATE egretstile_options)
endif()
