// Prints the version of the library.
#include <iostream>

int main() {
  std::cout << "jacinthdeck 0.1.0\n";
}
