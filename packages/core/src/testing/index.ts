/** Tools for tests of the core; not part of the product. */
export * from './fuzz_parameters';
export * from './virtual_network';
