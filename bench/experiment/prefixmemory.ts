const CAPACITY_TOKENS = 40_000;

/** Prompt prefixes that one engine holds: least recently used ones go first. */
export class PrefixMemory {
  private readonly held = new Map<string, number>();

  private tokens = 0;

  /** Whether the prefix was held; it is from now on. */
  use(prefix: string, tokens: number): boolean {
    if (tokens === 0) return false;
    const hit = this.held.delete(prefix);
    if (!hit) this.tokens += tokens;
    this.held.set(prefix, tokens);
    for (const [oldest, size] of this.held) {
      if (this.tokens <= CAPACITY_TOKENS) break;
      this.held.delete(oldest);
      this.tokens -= size;
    }
    return hit;
  }
}
