package schema

import (
	"errors"
	"fmt"
)

// Item is a leaf, an element of a leaf-list or a presence container, as a path and a value. The value of a presence
// container is empty. Key leaves of list entries are items too.
type Item struct {
	Path  string `json:"p"`
	Value string `json:"v,omitempty"`
}

// Items lists the items of a tree in document order. Putting all of them into an empty tree yields an equal tree.
func (n *Node) Items() []Item {
	var out []Item
	n.Walk(func(x *Node) bool {
		if x.isItem() {
			out = append(out, Item{x.Path(), x.Value})
		}
		return true
	})
	return out
}

// isItem reports whether a node is listed as an Item. All other nodes exist only for their descendants.
func (n *Node) isItem() bool { return n.Def.HasValue() || n.Def.Presence }

// Put sets the item in the tree that n belongs to, and creates the missing nodes above it. The value may have any valid
// lexical form. Keys can't be changed.
func (n *Node) Put(i Item) error {
	steps, err := ParsePath(i.Path)
	if err != nil {
		return err
	}
	at := n
	for at.Parent != nil {
		at = at.Parent
	}
	for k, s := range steps {
		d := at.Def.byName[s.Name]
		if d == nil {
			return fmt.Errorf("%s: no node %s in the model", i.Path, s.Name)
		}
		keys, err := s.canonicalKeys(d)
		if err != nil {
			return fmt.Errorf("%s: %w", i.Path, err)
		}
		last := k == len(steps)-1
		if d.Kind == Leaf {
			if !last {
				return fmt.Errorf("%s: %s is a leaf", i.Path, s.Name)
			}
			v, err := d.Canonical(i.Value)
			if err != nil {
				return fmt.Errorf("%s: %w", i.Path, err)
			}
			if old, ok := at.Leaf(d.Name); ok && d.IsKey() && old != v {
				return fmt.Errorf("%s: a key can't be changed", i.Path)
			}
			_, err = at.Set(d, v)
			return err
		}
		c, err := at.Add(d, keys...)
		if err != nil && !errors.Is(err, ErrExists) {
			return fmt.Errorf("%s: %w", i.Path, err)
		}
		for n, k := range d.Keys { // an earlier RemovePath may have removed the key leaves of the entry
			if c.children[k] == nil {
				if _, err := c.Add(d.byName[k], keys[n]); err != nil {
					return fmt.Errorf("%s: %w", i.Path, err)
				}
			}
		}
		at = c
	}
	return nil
}

// RemovePath removes the node at a path as RemoveSelf does. A missing node is not an error.
func (n *Node) RemovePath(path string) error {
	at, err := n.Find(path)
	if errors.Is(err, ErrMissing) {
		return nil
	}
	if err != nil {
		return err
	}
	at.RemoveSelf()
	return nil
}

// RemoveSelf removes a node with its descendants from its tree, and the non-presence containers and keyed list entries
// above it that are empty then. On the root it removes all children.
func (n *Node) RemoveSelf() {
	parent := n.Parent
	if parent == nil {
		n.children, n.sorted = nil, nil
		return
	}
	parent.Remove(n)
	if parent.Len() == 0 && (parent.Def.Kind == Container && !parent.Def.Presence || parent.Def.Kind == List && len(parent.Def.Keys) > 0) {
		parent.RemoveSelf()
	}
}

// Change is a difference between two trees at the path of an item. Old is nil for an item that was added, New for one
// that was removed.
type Change struct {
	Path string  `json:"p"`
	Old  *string `json:"o,omitempty"`
	New  *string `json:"n,omitempty"`
}

// Diff lists the items in which new differs from old: first the removed items in reverse document order, then the added
// and changed ones in document order.
func Diff(old, new *Node) []Change {
	var removed, added []Change
	var walk func(a, b *Node)
	eachItem := func(n *Node, f func(Item)) {
		for _, i := range n.Items() {
			f(i)
		}
	}
	walk = func(a, b *Node) {
		if a.isItem() && a.Value != b.Value {
			o, v := a.Value, b.Value
			added = append(added, Change{b.Path(), &o, &v})
		}
		moved := moved(a, b)
		for _, c := range a.Children() {
			if b.children[c.id] == nil || moved[c.id] {
				eachItem(c, func(i Item) { removed = append(removed, Change{Path: i.Path, Old: &i.Value}) })
			}
		}
		for _, c := range b.Children() {
			if o := a.children[c.id]; o != nil && !moved[c.id] {
				walk(o, c)
			} else {
				eachItem(c, func(i Item) { added = append(added, Change{Path: i.Path, New: &i.Value}) })
			}
		}
	}
	walk(old, new)
	for i, j := 0, len(removed)-1; i < j; i, j = i+1, j-1 {
		removed[i], removed[j] = removed[j], removed[i]
	}
	return append(removed, added...)
}

// moved returns the IDs of the entries of user-ordered lists that Diff removes and adds again, because their position
// changed. Added entries are appended to the list, so these are all common entries from the first new or moved one on.
func moved(a, b *Node) map[string]bool {
	var out map[string]bool
	for _, d := range b.Def.Children {
		if !d.UserOrdered {
			continue
		}
		sharedIDs := func(n, other *Node) (ids []string) {
			for _, c := range n.Children() {
				if c.Def == d && other.children[c.id] != nil {
					ids = append(ids, c.id)
				}
			}
			return ids
		}
		oldOrder, newOrder := sharedIDs(a, b), sharedIDs(b, a)
		commonPrefix := 0
		for _, c := range b.Children() { // up to the first entry that is new or moved
			if c.Def == d && (commonPrefix >= len(oldOrder) || oldOrder[commonPrefix] != c.id) {
				break
			} else if c.Def == d {
				commonPrefix++
			}
		}
		for _, id := range newOrder[commonPrefix:] {
			if out == nil {
				out = map[string]bool{}
			}
			out[id] = true
		}
	}
	return out
}

// Patch applies the changes of a Diff to a tree in the given order, and prunes it. After an error the tree is partly
// changed.
func (n *Node) Patch(changes []Change) error {
	for _, c := range changes {
		var err error
		if c.New == nil {
			err = n.RemovePath(c.Path)
		} else {
			err = n.Put(Item{c.Path, *c.New})
		}
		if err != nil {
			return err
		}
	}
	n.Prune()
	return nil
}

// Prune removes the empty non-presence containers below n, and the list entries without their first key: these remain
// when the items of an entry are removed one by one.
func (n *Node) Prune() {
	for _, c := range n.Children() {
		if c.Def.HasValue() {
			continue
		}
		c.Prune()
		if c.Def.Kind == Container && !c.Def.Presence && c.Len() == 0 || c.Def.Kind == List && len(c.Def.Keys) > 0 && c.children[c.Def.Keys[0]] == nil {
			n.Remove(c)
		}
	}
}
