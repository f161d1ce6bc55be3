/** Decisions about callers' API keys. */
import {
  CustomerDirectory,
  decideAccess,
  findCustomerFault,
} from './customer_directory';

const CUSTOMERS = [
  {name: 'court', keyDigests: ['aa', 'ab']},
  {name: 'clerk', keyDigests: ['ba']},
];

function describeAccess(
  keyDigest: string | undefined,
  isPublic = false,
  isFresh = true,
): string {
  const access = decideAccess({
    customers: CustomerDirectory.create(CUSTOMERS),
    keyDigest,
    isPublic,
    isFresh,
  });
  if (access.type === 'refused') return access.error.kind;
  return access.customer ?? 'anyone';
}

test('a key opens routes only for the customer that holds it', () => {
  expect({
    first: describeAccess('aa'),
    second: describeAccess('ab'),
    other: describeAccess('ba'),
    unknown: describeAccess('cc'),
    none: describeAccess(undefined),
    publicNone: describeAccess(undefined, true),
    publicKnown: describeAccess('ba', true),
    publicUnknown: describeAccess('cc', true),
  }).toMatchInlineSnapshot(`
{
  "first": "court",
  "none": "unauthenticated",
  "other": "clerk",
  "publicKnown": "clerk",
  "publicNone": "anyone",
  "publicUnknown": "anyone",
  "second": "court",
  "unknown": "unauthenticated",
}
`);
});

test('an entry that may lack the newest keys does not deny a caller for good', () => {
  expect(describeAccess('cc', false, false)).toBe('not-ready');
});

test('without customers no call needs a key', () => {
  const question = {keyDigest: undefined, isPublic: false, isFresh: false};
  expect(decideAccess({...question, customers: undefined})).toEqual({
    type: 'allowed',
    customer: undefined,
  });
});

test('customers that cannot be told apart are found', () => {
  const [court, clerk] = CUSTOMERS;
  expect([
    findCustomerFault(CUSTOMERS),
    findCustomerFault([court, {...clerk, name: 'court'}]),
    findCustomerFault([court, {...clerk, keyDigests: ['ab']}]),
    findCustomerFault([{...court, keyDigests: ['aa', 'aa']}]),
    findCustomerFault([{...court, keyDigests: []}]),
  ]).toMatchInlineSnapshot(`
[
  undefined,
  "two customers are named court",
  "court and clerk share key ab",
  undefined,
  undefined,
]
`);
});
