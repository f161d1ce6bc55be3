/** Tests stand beside their sources; snapshots in __snapshots__. */
module.exports = {
  testEnvironment: 'node',
  testMatch: [
    '<rootDir>/packages/*/src/**/*.test.ts',
    '<rootDir>/platform/src/**/*.test.ts',
  ],
  testPathIgnorePatterns: ['/node_modules/', '\\.crowd\\.test\\.ts$'],
  transform: {'^.+\\.ts$': '@swc/jest'},
  testTimeout: 120_000,
  maxWorkers: 4,
  ci: true,
};
