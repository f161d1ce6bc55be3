/** A prefix cache with room for a few prompts, least recently used out. */

/** Prompts whose prefix the stand-in engine has cached. */
export class PrefixCache {
  private readonly prompts = new Set<string>();

  private constructor(private readonly capacity: number) {}

  /** Builds an empty cache for a number of prompts. */
  static create(capacity: number): PrefixCache {
    return new PrefixCache(capacity);
  }

  /** Notes a use of a prompt; tells whether it was cached. */
  touchPrompt(prompt: string, onEvict?: (oldest: string) => void): boolean {
    const isHit = this.prompts.delete(prompt);
    this.prompts.add(prompt);
    if (this.prompts.size > this.capacity) {
      const [oldest] = this.prompts;
      this.prompts.delete(oldest);
      onEvict?.(oldest);
    }
    return isHit;
  }

  /** Forgets everything. */
  clear(): void {
    this.prompts.clear();
  }
}
