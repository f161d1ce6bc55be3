/**
 * Bounds the bytes of requests that a node has in flight at one endpoint. An
 * endpoint crashes if the requests that it holds exceed its memory.
 */

/** Bytes in flight, by endpoint. */
export class BytesInFlight {
  private readonly bytes = new Map<string, number>();

  private constructor(private readonly maxBytes: number) {}

  static create(maxBytes: number): BytesInFlight {
    return new BytesInFlight(maxBytes);
  }

  /**
   * Takes a request into account if it fits. A request that is larger than the
   * bound fits where nothing is in flight, one without a body always.
   */
  tryAdd(endpoint: string, bytes: number): boolean {
    if (bytes === 0) return true;
    const held = this.bytes.get(endpoint);
    if (held === undefined) this.bytes.set(endpoint, bytes);
    else if (held + bytes > this.maxBytes) return false;
    else this.bytes.set(endpoint, held + bytes);
    return true;
  }

  /** Ends a request that was taken into account. */
  release(endpoint: string, bytes: number): void {
    if (bytes === 0) return;
    const left = (this.bytes.get(endpoint) ?? 0) - bytes;
    if (left > 0) this.bytes.set(endpoint, left);
    else this.bytes.delete(endpoint);
  }

  getBytes(endpoint: string): number {
    return this.bytes.get(endpoint) ?? 0;
  }
}
