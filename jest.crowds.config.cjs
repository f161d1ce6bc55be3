/** Tests of crowds of clients: one at a time, apart from all others. */
module.exports = {
  ...require('./jest.config.cjs'),
  testMatch: ['<rootDir>/platform/src/**/*.crowd.test.ts'],
  testPathIgnorePatterns: ['/node_modules/'],
  maxWorkers: 1,
  // Servers of stand-ins keep connections open.
  forceExit: true,
};
