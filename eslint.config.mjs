/** Lint rules that follow the Google TypeScript Style Guide. */
import path from 'node:path';
import tseslint from 'typescript-eslint';
import {createVerbRule, readVerbs} from './bin/verb_rule.mjs';

const VERBS = readVerbs(path.join(import.meta.dirname, 'docs/VERBS.md'));

/** Names of the users' pages, which only platform/ may know. */
const PLATFORM_NAMES =
  '/Server-Stamp|Not-Executed|Expect-Instance|Prompt-Prefix|Token-Usage' +
  '|Weight-Versions|Length-Hint|[/]api[/](lots|objects|order|report|readiness)/i';

const NO_DEFAULT_EXPORT = {
  selector: 'ExportDefaultDeclaration',
  message: 'Use named exports.',
};

export default tseslint.config(
  {ignores: ['**/dist/**', '**/node_modules/**', '**/generated/**']},
  ...tseslint.configs.recommended,
  {
    files: ['packages/**/*.ts', 'platform/**/*.ts'],
    plugins: {house: {rules: {verb: createVerbRule(VERBS)}}},
    rules: {
      'house/verb': 'error',
      'prefer-const': 'error',
      'no-var': 'error',
      eqeqeq: ['error', 'always'],
      curly: ['error', 'multi-line'],
      'no-console': 'error',
      'max-lines': ['error', {max: 400}],
      'no-restricted-syntax': ['error', NO_DEFAULT_EXPORT],
      '@typescript-eslint/no-explicit-any': 'error',
      '@typescript-eslint/no-non-null-assertion': 'error',
      '@typescript-eslint/no-unused-vars': [
        'error',
        {argsIgnorePattern: '^_', varsIgnorePattern: '^_'},
      ],
      '@typescript-eslint/naming-convention': [
        'error',
        {selector: 'typeLike', format: ['PascalCase']},
        {
          selector: ['function', 'classMethod'],
          format: ['camelCase'],
        },
      ],
    },
  },
  {
    files: ['packages/**/*.ts'],
    ignores: ['packages/standins/**'],
    rules: {
      'no-restricted-syntax': [
        'error',
        NO_DEFAULT_EXPORT,
        ...['Literal[value=', 'TemplateElement[value.raw='].map(start => ({
          selector: `${start}${PLATFORM_NAMES}]`,
          message: "Only platform/ knows the names of the users' pages.",
        })),
      ],
    },
  },
  {
    files: ['packages/**/*.ts'],
    ignores: [
      'packages/runtime/src/bounded_answer.ts',
      'packages/{bench,harness,standins}/**',
    ],
    rules: {
      'no-restricted-imports': [
        'error',
        {
          name: 'undici',
          importNames: ['request', 'fetch', 'stream', 'pipeline'],
          message: 'Use BoundedAnswer, which bounds what an answer may hold.',
        },
      ],
    },
  },
  {
    files: ['bin/**/*.mjs'],
    languageOptions: {globals: {console: 'readonly', process: 'readonly'}},
  },
);
