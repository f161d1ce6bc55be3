/**
 * ESLint rule: the name of every function and method begins with a verb listed
 * in docs/VERBS.md.
 */
import {readFileSync} from 'node:fs';

const VERB_LINE = /^\| `([a-z]+)` +\|/;

/** Reads the verbs from the first column of the table in a file. */
export function readVerbs(file) {
  const lines = readFileSync(file, 'utf8').split('\n');
  const verbs = lines.map(line => VERB_LINE.exec(line)?.[1]).filter(Boolean);
  return new Set(verbs);
}

function getFirstWord(name) {
  return /^[a-z]+/.exec(name)?.[0] ?? '';
}

/** Creates the rule; `verbs` are the allowed first words, in lower case. */
export function createVerbRule(verbs) {
  return {
    meta: {
      type: 'suggestion',
      schema: [],
      messages: {
        verb: "'{{name}}' does not begin with a verb of docs/VERBS.md",
      },
    },
    create(context) {
      const checkName = node => {
        if (!node || node.type !== 'Identifier') return;
        if (verbs.has(getFirstWord(node.name))) return;
        context.report({node, messageId: 'verb', data: {name: node.name}});
      };
      const isFunction = node =>
        node?.type === 'ArrowFunctionExpression' ||
        node?.type === 'FunctionExpression';
      return {
        FunctionDeclaration: node => checkName(node.id),
        MethodDefinition: node => {
          if (node.kind === 'method') checkName(node.key);
        },
        VariableDeclarator: node => {
          if (isFunction(node.init)) checkName(node.id);
        },
      };
    },
  };
}
