/**
 * Says what a settings schema expects at a key, for the messages of faults.
 */
import {z} from 'zod';

/** The part of JSON Schema that is read here. */
interface SchemaNode {
  readonly description?: string;
  readonly type?: string;
  readonly enum?: readonly unknown[];
  readonly const?: unknown;
  readonly properties?: Readonly<Record<string, SchemaNode>>;
  readonly items?: SchemaNode;
}

/** Reads a settings schema by the path of a key. */
export class SettingsSchemaReader {
  private constructor(private readonly root: SchemaNode) {}

  /** Builds a reader of a schema. */
  static create(schema: z.ZodType): SettingsSchemaReader {
    const json = z.toJSONSchema(schema, {io: 'input', unrepresentable: 'any'});
    return new SettingsSchemaReader(json as SchemaNode);
  }

  /** Lists the keys that may stand at a path. */
  listKeys(path: ReadonlyArray<string | number>): string[] {
    return Object.keys(this.findNode(path)?.properties ?? {});
  }

  /** Says what is expected at a path. */
  describeExpected(path: ReadonlyArray<string | number>): string {
    const node = this.findNode(path);
    if (node?.description !== undefined) return node.description;
    if (node?.const !== undefined) return String(node.const);
    if (node?.enum !== undefined) return node.enum.join(' or ');
    if (node?.properties === undefined) return node?.type ?? 'another value';
    return `a mapping of ${Object.keys(node.properties).join(', ')}`;
  }

  private findNode(
    path: ReadonlyArray<string | number>,
  ): SchemaNode | undefined {
    let node: SchemaNode | undefined = this.root;
    for (const part of path) {
      node = typeof part === 'number' ? node?.items : node?.properties?.[part];
    }
    return node;
  }
}
