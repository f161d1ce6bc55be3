/**
 * Customers of a deployment and their API keys, from one configuration. Keys are
 * known by digest only, so that no key can leave a node.
 */
import {ServiceError, createError} from '../errors/error_kinds';

/** Number of characters of a digest that logs show. */
const SHOWN_DIGEST_CHARACTERS = 12;

export interface Customer {
  readonly name: string;
  /** SHA-256 digests of the customer's API keys, in hexadecimal. */
  readonly keyDigests: readonly string[];
}

/** Finds the customer that holds a key. */
export class CustomerDirectory {
  private constructor(
    private readonly namesByDigest: ReadonlyMap<string, string>,
  ) {}

  /** Customers must have passed `findCustomerFault`. */
  static create(customers: readonly Customer[]): CustomerDirectory {
    const names = customers.flatMap(({name, keyDigests}) =>
      keyDigests.map(digest => [digest, name] as const),
    );
    return new CustomerDirectory(new Map(names));
  }

  /** Returns the name of the customer; undefined if nobody holds the key. */
  findByDigest(digest: string): string | undefined {
    return this.namesByDigest.get(digest);
  }
}

/**
 * Describes why customers cannot be told apart: two have the same name or the
 * same key. Returns undefined if there is no fault.
 */
export function findCustomerFault(
  customers: readonly Customer[],
): string | undefined {
  const names = new Set<string>();
  const holders = new Map<string, string>();
  for (const {name, keyDigests} of customers) {
    if (names.has(name)) return `two customers are named ${name}`;
    names.add(name);
    for (const digest of keyDigests) {
      const holder = holders.get(digest);
      if (holder !== undefined && holder !== name) {
        return `${holder} and ${name} share key ${describeDigest(digest)}`;
      }
      holders.set(digest, name);
    }
  }
  return undefined;
}

/** Returns the beginning of a key's digest, for logs. */
export function describeDigest(digest: string): string {
  return digest.slice(0, SHOWN_DIGEST_CHARACTERS);
}

/** What decides whether a caller may use a route. */
export interface AccessQuestion {
  /** Undefined if the configuration has no customers: then anyone may call. */
  readonly customers: CustomerDirectory | undefined;
  /** Digest of the caller's key; undefined if the call has none. */
  readonly keyDigest: string | undefined;
  /** Whether the route is open to callers without a key. */
  readonly isPublic: boolean;
  /** Whether the configuration is known to be up to date. */
  readonly isFresh: boolean;
}

/** Whether a call is allowed, and for which customer. */
export type Access =
  | {readonly type: 'allowed'; readonly customer: string | undefined}
  | {readonly type: 'refused'; readonly error: ServiceError};

/**
 * Decides about a caller's key. An unknown key is refused for good only under a
 * fresh configuration, since a newer one may hold it.
 */
export function decideAccess(question: AccessQuestion): Access {
  const {customers, keyDigest, isPublic, isFresh} = question;
  if (customers === undefined) return {type: 'allowed', customer: undefined};
  const customer =
    keyDigest === undefined ? undefined : customers.findByDigest(keyDigest);
  if (customer !== undefined || isPublic) return {type: 'allowed', customer};
  if (keyDigest === undefined) {
    const error = createError('unauthenticated', 'the call has no API key');
    return {type: 'refused', error};
  }
  const detail = `unknown key ${describeDigest(keyDigest)}`;
  const kind = isFresh ? 'unauthenticated' : 'not-ready';
  return {type: 'refused', error: createError(kind, detail)};
}
