/** Pieces of a body that are joined later. Many small ones are joined earlier: each refers to all of the bytes that were read with it. */

const MAX_PIECES = 64;

export class BodyPieces {
  private pieces: Buffer[] = [];
  private length = 0;

  get bytes(): number {
    return this.length;
  }

  add(piece: Buffer): void {
    this.pieces.push(piece);
    this.length += piece.length;
    if (this.pieces.length > MAX_PIECES) this.pieces = [Buffer.concat(this.pieces)];
  }

  /** Removes all pieces and returns them as one. */
  take(): Buffer {
    const [first] = this.pieces;
    const joined = first && this.pieces.length === 1 ? first : Buffer.concat(this.pieces);
    this.pieces = [];
    this.length = 0;
    return joined;
  }
}
