/** Remembers the most recent of a series of texts, so that each is logged once. */
export class RecentTexts {
  private readonly texts = new Set<string>();

  constructor(private readonly capacity: number) {}

  /** Adds a text; returns whether it was new. Beyond the capacity the oldest is forgotten. */
  add(text: string): boolean {
    if (this.texts.has(text)) return false;
    this.texts.add(text);
    const [oldest] = this.texts;
    if (this.texts.size > this.capacity && oldest !== undefined) this.texts.delete(oldest);
    return true;
  }
}
